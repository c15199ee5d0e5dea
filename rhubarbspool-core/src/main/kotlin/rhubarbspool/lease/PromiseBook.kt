/*
 * The successor's side of a lease: what it promised to whom, and when a takeover is due.
 */
package rhubarbspool.lease

import rhubarbspool.model.InstanceName

/** The two kinds of takeover: within the failure domain, and from another one. */
enum class LeaseScope { LOCAL, REMOTE }

/**
 * A holder's question for a promise; ordered by when the holder asked.
 *
 * @property sentAt when the holder asked, on its own monotonic clock.
 * @property unrecordedRuns whether the holder may have run once-only requests that the table does not know of.
 */
data class Question(
    val holder: InstanceName,
    val generation: Long,
    val scope: LeaseScope,
    val sentAt: Long,
    val unrecordedRuns: Boolean = false,
) : Comparable<Question> {
    override fun compareTo(other: Question): Int = compareValuesBy(this, other, { it.generation }, { it.sentAt })
}

/** Promises that this process gave to holders that name it. All times are monotonic milliseconds. */
class PromiseBook {
    private data class Subject(val holder: InstanceName, val scope: LeaseScope)

    private data class Watch(val version: Long, val since: Long)

    private val promisedAt = HashMap<Subject, Long>()
    private val watches = HashMap<Subject, Watch>()
    private val latest = HashMap<Subject, Question>()
    private val attempts = HashSet<InstanceName>()
    private val unrecorded = HashSet<InstanceName>()

    /**
     * Promises the holder of [question] not to take over from it for the takeover wait from [now]; false while a
     * takeover from it is being attempted, and for a question that a later one has overtaken.
     */
    fun promise(question: Question, now: Long): Boolean {
        val subject = Subject(question.holder, question.scope)
        val last = latest[subject]
        if (question.holder in attempts || (last != null && question < last)) return false
        latest[subject] = question
        promisedAt[subject] = now
        if (question.unrecordedRuns) unrecorded += question.holder else unrecorded -= question.holder
        return true
    }

    /** Whether [holder] last said that it ran once-only requests which the table does not know of. */
    fun hasUnrecordedRuns(holder: InstanceName): Boolean = holder in unrecorded

    /**
     * Whether a takeover from [holder] is due: its row kept [version] for the whole [wait], and so long no
     * promise was given.
     */
    fun takeoverDue(holder: InstanceName, scope: LeaseScope, version: Long, wait: Long, now: Long): Boolean {
        val subject = Subject(holder, scope)
        val watch = watches[subject]?.takeIf { it.version == version } ?: Watch(version, now)
        watches[subject] = watch
        val quietSince = maxOf(watch.since, promisedAt[subject] ?: Long.MIN_VALUE)
        return holder !in attempts && now - quietSince > wait
    }

    /** Forgets how long [holder] has been watched: it names this process no more. */
    fun unnamed(holder: InstanceName, scope: LeaseScope) {
        watches.remove(Subject(holder, scope))
    }

    /** Notes that a takeover from [holder] is being written; no promise is given until it is resolved. */
    fun attempting(holder: InstanceName) {
        attempts += holder
    }

    /** Notes that the takeover from [holder] is resolved either way. */
    fun resolved(holder: InstanceName) {
        attempts -= holder
    }
}
