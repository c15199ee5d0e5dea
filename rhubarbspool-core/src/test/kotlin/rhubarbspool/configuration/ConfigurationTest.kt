/*
 * Tests reading and writing of configurations, error reports, and the questionnaire that generates them.
 */
package rhubarbspool.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.orNull
import io.kotest.property.checkAll
import rhubarbspool.model.Address
import rhubarbspool.model.FailureDomainName
import rhubarbspool.model.ServerName
import rhubarbspool.model.ServiceName

private val configurations: Arb<ServiceConfiguration> = Arb.bind(
    Arb.int(1..5),
    Arb.int(1..4),
    Arb.long(2_000L..90_000L).orNull(),
    Arb.boolean(),
    Arb.enum<Priority>(),
) { servers, slots, moveAfter, checksGrants, priority ->
    ServiceConfiguration(
        ServiceName("service"),
        shards = servers * 8,
        routes = listOf(Route("read", "GET", "/a/{key}", priority = priority, coalesce = checksGrants)),
        servers = List(servers) {
            BackendServer(ServerName("s-$it"), Address("10.0.0.1", 1 + it), FailureDomainName("d"), checksGrants)
        },
        moveAfterMilliseconds = moveAfter,
        limits = Limits(slots = slots),
    )
}

private val invalidConfiguration = """
    service: Bad_Name
    shards: 0
    whenCutOff: sometimes
    colour: red
    routes:
      - name: book
        method: POST
        path: /a/b
        kind: once
        coalesce: true
        deadline: 9s
    servers:
      - name: a
        address: localhost:80
        domain: d
        checksGrants: perhaps
      - name: a
        address: 127.0.0.1:1
        domain: d
        checksGrants: true
    limits:
      slots: 3000
""".trimIndent()

private val questionnaireAnswers = """
    service: ledger
    servers:
      - "ledger-01 127.0.0.1:9200 gandaki-a"
    bookings: /bookings/{key}
    bookingsWithin: 2s
    whenCutOff: 30s
""".trimIndent()

class ConfigurationTest : FunSpec({
    test("a written configuration is read back unchanged") {
        checkAll(PropTestConfig(seed = 1), configurations) { configuration ->
            ConfigurationReader.read(ConfigurationWriter.write(configuration)).getOrNull() shouldBe configuration
        }
    }

    test("every error is reported with its path") {
        val paths = ConfigurationReader.read(invalidConfiguration).leftOrNull().orEmpty().map { it.path }
        paths shouldContainAll listOf(
            "service",
            "shards",
            "whenCutOff",
            "colour",
            "routes[0].path",
            "routes[0].coalesce",
            "routes[0].deadline",
            "servers",
            "servers[0].address",
            "servers[0].checksGrants",
            "limits.slots",
        )
    }

    test("the questionnaire generates a valid configuration") {
        val configuration = Questionnaire.configure(questionnaireAnswers).getOrNull()
        configuration?.moveAfterMilliseconds shouldBe 30_000
        configuration?.routes?.single()?.kind shouldBe RunKind.ONCE
        val text = ConfigurationWriter.write(requireNotNull(configuration))
        ConfigurationReader.read(text).getOrNull() shouldBe configuration
    }

    test("the questionnaire reports missing and invalid answers") {
        val paths = Questionnaire.configure(
            "service: a\nservers: []\nslots: none"
        ).leftOrNull().orEmpty().map { it.path }
        paths shouldContainAll listOf("slots", "reads")
    }
})
