/*
 * Exit codes and output of the command line, as a table of cases.
 */
package rhubarbspool.command

import com.github.ajalt.clikt.testing.test
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.File

/** Command line arguments with the expected exit code and a part of the expected output. */
private data class Case(val arguments: String, val exitCode: Int, val output: String)

private val samples = File("../samples").listFiles().orEmpty().flatMap { it.listFiles().orEmpty().toList() }

private val invalidDocument = File.createTempFile("faulty", ".yaml").apply {
    deleteOnExit()
    writeText("service: Bad\nshards: 0\nroutes: []\nservers: []\n")
}

private val log = File.createTempFile("instance", ".log").apply {
    deleteOnExit()
    writeText(
        """
        {"@timestamp":"2026-01-01T00:00:02Z","message":"answered","level":"INFO","status":"503","request":"r-1"}
        not a JSON line
        {"@timestamp":"2026-01-01T00:00:01Z","message":"pool.refused","level":"INFO","reason":"OVERLOADED","request":"r-1"}
        {"@timestamp":"2026-01-01T00:00:01Z","message":"sent","level":"INFO","server":"s","request":"r-2"}
        """.trimIndent(),
    )
}

private val cases = listOf(
    Case("trace r-1 ${log.path}", 0, "pool.refused reason=OVERLOADED"),
    Case("trace r-1 ${log.path}", 0, "answered status=503"),
    Case("trace r-3 ${log.path}", ExitCodes.FAILED, "no line names the request r-3"),
    Case("--help", 0, "Exit codes"),
    Case("check ${invalidDocument.path}", ExitCodes.INVALID_DOCUMENT, "shards: found \"0\""),
    Case("check ${invalidDocument.path}", ExitCodes.INVALID_DOCUMENT, "service: found \"Bad\""),
    Case("check ${invalidDocument.path}", ExitCodes.INVALID_DOCUMENT, "servers: found 0 items"),
    Case("questionnaire --answers ${invalidDocument.path}", ExitCodes.INVALID_DOCUMENT, "shards: found \"0\""),
    Case("status --platform nowhere", 1, "an IP number and a port"),
    Case("status --platform 127.0.0.1:1", ExitCodes.PLATFORM_UNAVAILABLE, "the platform does not answer"),
    Case("drain --platform 127.0.0.1:1 zone a", 1, "invalid choice"),
    Case("completion bash", 0, "rhubarbspool"),
)

class CommandTest : FunSpec({
    cases.forEach { case ->
        test("${case.arguments.substringBefore("/")} exits with ${case.exitCode} and prints ${case.output}") {
            val result = RhubarbspoolCommand().test(case.arguments)
            result.statusCode shouldBe case.exitCode
            result.output shouldContain case.output
        }
    }

    samples.filter { it.name.endsWith(".answers.yaml") }.forEach { answers ->
        test("${answers.name} produces the committed configuration") {
            val result = RhubarbspoolCommand().test("questionnaire --answers ${answers.path}")
            val committed = File(answers.path.replace(".answers.yaml", "-configuration.yaml"))
            result.stdout shouldBe committed.readText()
        }
    }
})
