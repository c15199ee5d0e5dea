/*
 * Registers this instance in the shared rows, until it stops: an instance without a row performs no duties for others.
 */
package rhubarbspool.entry

/** Writes the row of this instance when it is missing or out of date. */
internal class MemberRow(private val context: ProcessContext, private val table: PlatformTable) {
    private val self =
        context.settings.run { Member(instance, domain, peers, processorPercent) }
    private val key = Member.keyOf(self.instance)
    private var isLeaving = false

    /** Version of the row; 0 if there is none. */
    private val knownVersion: Long get() = context.state.shared.memberVersions[self.instance] ?: 0

    /** Checks the row; returns the milliseconds until the next check. */
    fun maintain(): Long {
        val shared = context.state.shared
        val rows = context.state.rows(Feed.SHARED)
        val isCurrent = shared.members[self.instance] == self && rows.isStored(key)
        val isRead = rows.version != null
        if (!isCurrent && isRead && !isLeaving) write()
        return when {
            !isRead -> FIRST_READ_MILLISECONDS
            isCurrent -> CHECK_MILLISECONDS
            else -> WRITE_MILLISECONDS
        }
    }

    /** Removes the row; it is not written again. */
    fun leave() {
        isLeaving = true
        remove(REMOVAL_ATTEMPTS)
    }

    private fun write() {
        val write = table.write(key, followed = true, knownVersion, self.encode())
        context.tasks.onResult("member.write", write) { result, failure ->
            if (failure != null) context.log.event("member.unwritten", "cause" to failure.message)
            when (result) {
                is WriteResult.Written -> onWritten(result.version)
                is WriteResult.Conflict -> recordVersion(result.current?.version)
                null -> Unit
            }
        }
    }

    private fun onWritten(version: Long) {
        recordVersion(version)
        if (isLeaving) remove(REMOVAL_ATTEMPTS)
    }

    private fun remove(attempts: Int) {
        if (knownVersion == 0L || attempts == 0) return
        val write = table.write(key, followed = true, knownVersion, null)
        context.tasks.onResult("member.remove", write) { result, failure ->
            if (failure != null) context.log.event("member.not-removed", "cause" to failure.message)
            if (result is WriteResult.Conflict) {
                recordVersion(result.current?.version)
                remove(attempts - 1)
            }
        }
    }

    private fun recordVersion(version: Long?) {
        val versions = context.state.shared.memberVersions
        if (version == null) versions.remove(self.instance) else versions[self.instance] = version
    }

    private companion object {
        /** Interval of checks until the shared rows have been read. */
        const val FIRST_READ_MILLISECONDS = 50L

        /** Time for a write to arrive in the feed of shared rows before it is repeated. */
        const val WRITE_MILLISECONDS = 700L
        const val CHECK_MILLISECONDS = 1_000L

        /** A row whose version changes while it is removed was challenged or written at the same time. */
        const val REMOVAL_ATTEMPTS = 3
    }
}
