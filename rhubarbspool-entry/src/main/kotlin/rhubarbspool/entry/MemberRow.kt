/*
 * Registers this instance in the shared rows.
 */
package rhubarbspool.entry

import java.util.concurrent.TimeUnit

/** Writes the row of this instance when it is missing or out of date. */
internal class MemberRow(private val context: ProcessContext, private val table: PlatformTable) {
    private val self =
        context.settings.run { Member(instance, domain, peers, processorPercent) }

    /** Checks the row now and then periodically. */
    fun maintain() {
        val shared = context.state.shared
        val rows = context.state.rows(Feed.SHARED)
        val isCurrent = shared.members[self.instance] == self && rows.isStored(Member.keyOf(self.instance))
        val isRead = rows.version != null
        if (!isCurrent && isRead) write()
        val wait = when {
            !isRead -> FIRST_READ_MILLISECONDS
            isCurrent -> CHECK_MILLISECONDS
            else -> WRITE_MILLISECONDS
        }
        context.loop.schedule(::maintain, wait, TimeUnit.MILLISECONDS)
    }

    private fun write() {
        val versions = context.state.shared.memberVersions
        val expected = versions[self.instance] ?: 0
        val key = Member.keyOf(self.instance)
        table.write(key, followed = true, expected, self.encode()).whenComplete { result, failure ->
            if (failure != null) context.log.event("member.unwritten", "cause" to failure.message)
            if (result is WriteResult.Conflict) versions[self.instance] = result.current?.version ?: 0
        }
    }

    private companion object {
        /** Interval of checks until the shared rows have been read. */
        const val FIRST_READ_MILLISECONDS = 50L

        /** Time for a write to arrive in the feed of shared rows before it is repeated. */
        const val WRITE_MILLISECONDS = 700L
        const val CHECK_MILLISECONDS = 1_000L
    }
}
