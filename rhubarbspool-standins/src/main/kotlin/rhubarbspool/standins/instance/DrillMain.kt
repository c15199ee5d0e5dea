/*
 * Drives one instance through its usual work, so that a class archive made from that run holds what it needs: writes
 * a settings file, waits until the instance answers, and sends requests of each kind.
 */
package rhubarbspool.standins.instance

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Runs the drill; the only argument is the settings file to write. */
object DrillMain {
    private const val REQUESTS = 60
    private const val PATIENCE_MILLISECONDS = 20_000L
    private const val PAUSE_MILLISECONDS = 50L

    @JvmStatic
    fun main(arguments: Array<String>) {
        val served = InstanceWorld().use { world -> drill(world, Path.of(arguments.single())) }
        println("drill: $served requests answered")
        exitProcess(if (served > 0) 0 else 1)
    }

    private fun drill(world: InstanceWorld, file: Path): Int {
        val listening = Listening()
        world.configure(1)
        listOf("s1", "s2", "s3").forEach { world.server(it, "board", "east", sharded = true) }
        world.server("s4", "desk", "east", sharded = false)
        Files.writeString(file, world.settings("drill", "east", listening))
        val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
        val end = System.currentTimeMillis() + PATIENCE_MILLISECONDS
        var served = 0
        while (served < REQUESTS && System.currentTimeMillis() < end) {
            if (send(client, "http://${listening.callers}", served)) served++ else Thread.sleep(PAUSE_MILLISECONDS)
        }
        return served
    }

    private fun send(client: HttpClient, base: String, number: Int): Boolean {
        val read = number % 2 == 0
        val request = HttpRequest.newBuilder(URI.create(base + if (read) "/read/$number" else "/book/$number"))
            .header("Rhubarbspool-Request-Id", "drill-$number")
            .header("Rhubarbspool-Request-Timeout-Ms", "2000")
            .header("Rhubarbspool-Shard-Key", "${number * KEY_STRIDE}")
        val built = if (read) request.GET() else request.POST(HttpRequest.BodyPublishers.ofString("body"))
        return try {
            client.send(built.build(), HttpResponse.BodyHandlers.ofString()).statusCode() < SERVER_ERRORS
        } catch (exception: java.io.IOException) {
            println("drill: not yet: ${exception.message}")
            false
        }
    }

    private const val KEY_STRIDE = 1_000
    private const val SERVER_ERRORS = 400
}
