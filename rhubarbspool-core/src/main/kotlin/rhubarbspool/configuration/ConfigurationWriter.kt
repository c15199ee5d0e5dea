/*
 * Writes a service's configuration as YAML.
 */
package rhubarbspool.configuration

import rhubarbspool.settings.DurationText
import rhubarbspool.settings.SizeText

/** Writes configurations as YAML. */
object ConfigurationWriter {
    /** Value of `whenCutOff` for keys that stay with a failure domain that is cut off. */
    internal const val HOLD = "hold"

    /** Writes [configuration] as YAML from which [ConfigurationReader.read] returns an equal value. */
    fun write(configuration: ServiceConfiguration): String = buildString {
        appendLine("service: ${configuration.service}")
        appendLine("shards: ${configuration.shards}")
        appendLine("whenCutOff: ${configuration.moveAfterMilliseconds?.let(DurationText::format) ?: HOLD}")
        appendLine("repeatWindow: ${DurationText.format(configuration.repeatWindowMilliseconds)}")
        append(writeLimits(configuration.limits))
        appendLine("coldStart:")
        appendLine("  slots: ${configuration.coldStart.slots}")
        appendLine("  completions: ${configuration.coldStart.completions}")
        appendLine("routes:")
        configuration.routes.forEach { append(writeRoute(it)) }
        appendLine("servers:")
        configuration.servers.forEach { append(writeServer(it)) }
    }

    private fun writeLimits(limits: Limits): String = buildString {
        appendLine("limits:")
        appendLine("  slots: ${limits.slots}")
        appendLine("  connections: ${limits.connections}")
        appendLine("  maximumExecution: ${DurationText.format(limits.maximumExecutionMilliseconds)}")
        appendLine("  requestBody: ${SizeText.format(limits.requestBodyBytes)}")
        appendLine("  coalescedAnswer: ${SizeText.format(limits.coalescedAnswerBytes)}")
        appendLine("  queueLength: ${limits.queueLength}")
        appendLine("  silence: ${DurationText.format(limits.silenceMilliseconds)}")
    }

    private fun writeRoute(route: Route): String = buildString {
        appendLine("  - name: ${route.name}")
        appendLine("    method: ${route.method}")
        appendLine("    path: ${route.path}")
        appendLine("    kind: ${route.kind.label}")
        appendLine("    priority: ${route.priority.label}")
        appendLine("    coalesce: ${route.coalesce}")
        appendLine("    deadline: ${DurationText.format(route.deadlineMilliseconds)}")
    }

    private fun writeServer(server: BackendServer): String = buildString {
        appendLine("  - name: ${server.name}")
        appendLine("    address: ${server.address}")
        appendLine("    domain: ${server.domain}")
        appendLine("    checksGrants: ${server.checksGrants}")
    }
}
