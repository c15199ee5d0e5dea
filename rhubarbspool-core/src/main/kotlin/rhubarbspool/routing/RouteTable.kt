/*
 * Matches a caller's method and path to a service, a route and a key.
 */
package rhubarbspool.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import rhubarbspool.configuration.Route
import rhubarbspool.configuration.ServiceConfiguration
import rhubarbspool.errors.ErrorKind
import rhubarbspool.errors.RequestError
import rhubarbspool.model.ServiceName

/** Route and key of a request; [serverPath] is the path with its query that is sent to the backend server. */
data class RouteMatch(
    val configuration: ServiceConfiguration,
    val route: Route,
    val key: String,
    val serverPath: String,
)

/** Matches requests of the form `/<service>/<path of a route>`. */
class RouteTable(private val services: Map<ServiceName, ServiceConfiguration>) {
    /** Finds the route for [method] and [target], a path with its query, or the error for the caller. */
    fun match(method: String, target: String): Either<RequestError, RouteMatch> {
        val path = target.substringBefore('?')
        val name = path.removePrefix("/").substringBefore('/')
        val configuration = services[ServiceName(name)]
        return when {
            services.isEmpty() ->
                RequestError(ErrorKind.NO_CONFIGURATION, retryAfterMilliseconds = RETRY_MILLISECONDS).left()

            configuration == null -> RequestError(ErrorKind.UNKNOWN_SERVICE, name).left()
            else -> match(configuration, method, path.removePrefix("/$name"), target.removePrefix("/$name"))
        }
    }

    private fun match(
        configuration: ServiceConfiguration,
        method: String,
        path: String,
        serverPath: String,
    ): Either<RequestError, RouteMatch> {
        val matches = configuration.routes.mapNotNull { route -> keyOf(route.path, path)?.let { route to it } }
        val chosen = matches.firstOrNull { it.first.method == method }
        return when {
            matches.isEmpty() -> RequestError(ErrorKind.UNKNOWN_ROUTE, path).left()
            chosen == null -> RequestError(ErrorKind.METHOD_NOT_ALLOWED, method).left()
            chosen.second.isEmpty() -> RequestError(ErrorKind.KEY_MISSING, path).left()
            else -> RouteMatch(configuration, chosen.first, chosen.second, serverPath).right()
        }
    }

    private fun keyOf(template: String, path: String): String? {
        val expected = template.split('/')
        val actual = path.split('/')
        if (expected.size != actual.size) return null
        val matches = expected.indices.all { expected[it] == KEY || expected[it] == actual[it] }
        return if (matches) actual[expected.indexOf(KEY)] else null
    }

    private companion object {
        const val KEY = "{key}"
        const val RETRY_MILLISECONDS = 1_000L
    }
}
