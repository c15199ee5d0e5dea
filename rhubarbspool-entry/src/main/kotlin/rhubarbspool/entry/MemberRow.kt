/*
 * Keeps the row of this instance among the shared rows.
 */
package rhubarbspool.entry

import java.util.concurrent.TimeUnit

/** Writes this instance into the shared rows where it does not stand there as it is. */
internal class MemberRow(private val context: ProcessContext, private val table: PlatformTable) {
    private val me = Member(context.settings.instance, context.settings.domain, context.settings.peers)

    /** Looks after the row from now on. */
    fun keep() {
        val shared = context.state.shared
        val stands = shared.members[me.instance] == me
        if (!stands && context.state.rows(Feed.SHARED).version != null) write()
        val wait = if (stands) CHECK_MILLISECONDS else WRITE_MILLISECONDS
        context.loop.schedule(::keep, wait, TimeUnit.MILLISECONDS)
    }

    private fun write() {
        val versions = context.state.shared.memberVersions
        val expected = versions[me.instance] ?: 0
        val key = Member.keyOf(me.instance)
        table.write(key, followed = true, expected, me.encode()).whenComplete { result, failure ->
            if (failure != null) context.log.event("member.unwritten", "cause" to failure.message)
            if (result is WriteResult.Conflict) versions[me.instance] = result.current?.version ?: 0
        }
    }

    private companion object {
        /** Time for a write and its way back through the shared rows, before it is tried again. */
        const val WRITE_MILLISECONDS = 700L
        const val CHECK_MILLISECONDS = 5_000L
    }
}
