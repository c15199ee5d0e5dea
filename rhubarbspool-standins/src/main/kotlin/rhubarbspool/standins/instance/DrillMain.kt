/*
 * Workload for building the class archive of an instance, which holds the classes loaded during this run: writes a
 * settings file, waits until the instance responds, and sends reads and bookings.
 */
package rhubarbspool.standins.instance

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Runs the workload; the only argument is the path of the settings file to write. */
object DrillMain {
    private const val REQUESTS = 60
    private const val TIMEOUT_MILLISECONDS = 20_000L
    private const val RETRY_MILLISECONDS = 50L

    @JvmStatic
    fun main(arguments: Array<String>) {
        val answered = LocalPlatform().use { platform -> drill(platform, Path.of(arguments.single())) }
        println("drill: $answered requests answered")
        exitProcess(if (answered > 0) 0 else 1)
    }

    private fun drill(platform: LocalPlatform, file: Path): Int {
        val addresses = ListenAddresses()
        platform.putConfiguration(1)
        listOf("s1", "s2", "s3").forEach { platform.startServer(it, "board", "east", sharded = true) }
        platform.startServer("s4", "desk", "east", sharded = false)
        Files.writeString(file, platform.settings("drill", "east", addresses))
        val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
        val deadline = System.currentTimeMillis() + TIMEOUT_MILLISECONDS
        var answered = 0
        while (answered < REQUESTS && System.currentTimeMillis() < deadline) {
            if (send(client, "http://${addresses.callers}", answered)) answered++ else Thread.sleep(RETRY_MILLISECONDS)
        }
        return answered
    }

    private fun send(client: HttpClient, base: String, number: Int): Boolean {
        val isRead = number % 2 == 0
        val request = HttpRequest.newBuilder(URI.create(base + if (isRead) "/read/$number" else "/book/$number"))
            .header("Rhubarbspool-Request-Id", "drill-$number")
            .header("Rhubarbspool-Request-Timeout-Ms", "2000")
            .header("Rhubarbspool-Shard-Key", "${number * KEY_STEP}")
        val withMethod = if (isRead) request.GET() else request.POST(HttpRequest.BodyPublishers.ofString("body"))
        return try {
            client.send(withMethod.build(), HttpResponse.BodyHandlers.ofString()).statusCode() < FIRST_ERROR_STATUS
        } catch (exception: java.io.IOException) {
            println("drill: instance not reachable yet: ${exception.message}")
            false
        }
    }

    private const val KEY_STEP = 1_000
    private const val FIRST_ERROR_STATUS = 400
}
