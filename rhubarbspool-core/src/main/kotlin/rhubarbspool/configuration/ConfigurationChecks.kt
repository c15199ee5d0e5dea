/*
 * Checks of a configuration that concern several values, such as duplicate names and conflicting limits.
 */
package rhubarbspool.configuration

import rhubarbspool.settings.DurationText
import rhubarbspool.settings.SettingsReader

/** Checks the consistency of a configuration. */
internal object ConfigurationChecks {
    /** Adds the errors of [configuration] to [reader]. */
    fun check(reader: SettingsReader, configuration: ServiceConfiguration) {
        duplicates(configuration.servers.map { it.name.text })
            .forEach { reader.addError("servers", "the name \"$it\" twice", "each name once") }
        duplicates(configuration.servers.map { it.address.toString() })
            .forEach { reader.addError("servers", "the address $it twice", "each address once") }
        duplicates(configuration.routes.map { it.name })
            .forEach { reader.addError("routes", "the name \"$it\" twice", "each name once") }
        duplicates(configuration.routes.map { "${it.method} ${it.path}" })
            .forEach { reader.addError("routes", "$it twice", "each method and path once") }
        checkRoutes(reader, configuration)
        val limits = configuration.limits
        if (configuration.coldStart.slots > limits.slots) {
            reader.addError(
                "coldStart.slots",
                "${configuration.coldStart.slots}",
                "at most limits.slots ${limits.slots}",
            )
        }
        if (limits.slots > limits.connections) {
            reader.addError("limits.slots", "${limits.slots}", "at most limits.connections ${limits.connections}")
        }
    }

    private fun checkRoutes(reader: SettingsReader, configuration: ServiceConfiguration) {
        configuration.routes.forEachIndexed { position, route ->
            if (route.coalesce && route.kind == RunKind.ONCE) {
                reader.addError("routes[$position].coalesce", "true", "false on a route of kind once")
            }
            if (route.deadlineMilliseconds > configuration.limits.maximumExecutionMilliseconds) {
                reader.addError(
                    "routes[$position].deadline",
                    DurationText.format(route.deadlineMilliseconds),
                    "at most limits.maximumExecution " +
                        DurationText.format(configuration.limits.maximumExecutionMilliseconds),
                )
            }
        }
    }

    private fun duplicates(names: List<String>): Set<String> =
        names.filter { it.isNotEmpty() }.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
}
