/*
 * Writes the records of the once-only requests of one gate to the table.
 */
package rhubarbspool.router

import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.gate.GateEffect
import rhubarbspool.gate.GateRequest
import rhubarbspool.gate.IntentResult
import rhubarbspool.table.OnceBody
import rhubarbspool.table.RowKeys

/** Records of the once-only requests of one gate. */
internal class GateRecords(private val context: RouterContext) {
    /** Records that [request] is about to run under the gate's [epoch]; [onResult] gets the result of the write. */
    fun recordIntent(
        configuration: ServiceConfiguration,
        request: GateRequest,
        epoch: Long,
        onResult: (IntentResult) -> Unit,
    ) {
        val key = RowKeys.once(configuration.service, requireNotNull(request.onceId))
        val body = OnceBody(configuration.service, request.fingerprint, epoch)
        val seconds = expireSeconds(configuration)
        context.recorder.recordIntent(key, body, seconds) { result ->
            val unrecorded = result is IntentResult.Unavailable && context.view.unrecordedAllowed
            if (unrecorded) context.recorder.recordUnrecordedRun(key, body, seconds)
            onResult(result)
        }
    }

    /** Records the outcome of a once-only request under the gate's [epoch]. */
    fun recordOutcome(configuration: ServiceConfiguration, effect: GateEffect.RecordOutcome, epoch: Long) {
        val key = RowKeys.once(configuration.service, effect.onceId)
        val body = OnceBody(configuration.service, effect.fingerprint, epoch)
        context.recorder.recordOutcome(key, body, effect.answer, expireSeconds(configuration))
    }

    private fun expireSeconds(configuration: ServiceConfiguration): Long =
        configuration.repeatWindowMilliseconds / MILLISECONDS_PER_SECOND + 1

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
