/*
 * A response belongs to the request in flight on its connection only if it names that request and no other, and a
 * connection that has delivered anything else carries no further request.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ConnectionRecordTest : FunSpec({
    fun record(ids: List<String>) = ConnectionRecord().also { ids.forEach(it::begin) }

    data class OwnerCase(
        val what: String,
        val sent: List<String>,
        val named: List<String>,
        val owner: ResponseOwner,
        val disorder: Disorder?,
    )

    val first = listOf("a")
    val second = listOf("a", "b")
    val another = ResponseOwner.ANOTHER
    val unknown = ResponseOwner.UNKNOWN
    listOf(
        OwnerCase("the only request", first, listOf("a"), ResponseOwner.IN_FLIGHT, null),
        OwnerCase("no request, on a new connection", first, emptyList(), ResponseOwner.IN_FLIGHT, null),
        OwnerCase("a request of another connection", first, listOf("x"), another, Disorder.RESPONSE_TO_ANOTHER),
        OwnerCase("the second request", second, listOf("b"), ResponseOwner.IN_FLIGHT, null),
        OwnerCase("the second request twice", second, listOf("b", "b"), ResponseOwner.IN_FLIGHT, null),
        OwnerCase("the earlier request", second, listOf("a"), another, Disorder.RESPONSE_TO_ANOTHER),
        OwnerCase("both requests", second, listOf("b", "a"), unknown, Disorder.UNNAMED_RESPONSE),
        OwnerCase("both requests, the other first", second, second, unknown, Disorder.UNNAMED_RESPONSE),
        OwnerCase("no request, on a used connection", second, emptyList(), unknown, Disorder.UNNAMED_RESPONSE),
    ).forEach { case ->
        test("the owner of a response that names ${case.what}") {
            val record = record(case.sent)
            record.ownerOf(case.named) shouldBe case.owner
            record.disorder shouldBe case.disorder
            record.mayCarry("c") shouldBe (case.disorder == null)
        }
    }

    test("a response that names no request is not believed behind one to another request") {
        val record = record(listOf("a"))
        record.ownerOf(listOf("x"))
        record.ownerOf(emptyList()) shouldBe ResponseOwner.UNKNOWN
    }

    test("two requests with one id do not share a connection") {
        val record = record(listOf("a", "b"))
        record.mayCarry("a") shouldBe false
        record.mayCarry("b") shouldBe false
        record.mayCarry("c") shouldBe true
    }

    test("a connection carries a bounded number of requests") {
        record(List(99) { "r$it" }).mayCarry("x") shouldBe true
        record(List(100) { "r$it" }).mayCarry("x") shouldBe false
    }

    test("a head is recognised by the ids of its connection and the signatures of its responses") {
        val record = record(listOf("a1", "b1"))
        record.onSignature("s1")
        listOf("Id: a1", "Id: b1", "Signature: s1", "Id: c1").map(record::isNamedIn) shouldBe
            listOf(true, true, true, false)
    }
})
