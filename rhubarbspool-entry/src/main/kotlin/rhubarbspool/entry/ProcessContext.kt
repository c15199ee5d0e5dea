/*
 * What all parts of the process share.
 */
package rhubarbspool.entry

import io.netty.channel.EventLoop
import rhubarbspool.model.Now

/** The process's settings, beliefs and clocks; everything runs on [loop]. */
internal class ProcessContext(
    val settings: EntrySettings,
    val state: EntryState,
    val loop: EventLoop,
    val log: DecisionLog,
    val metrics: EntryMetrics,
    val now: () -> Now,
) {
    /** Monotonic milliseconds. */
    fun clock(): Long = now().monotonic
}
