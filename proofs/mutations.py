"""Mutation tests: disables one mechanism at a time in a copy of the sources and runs the test that must fail then.

Usage: proofs/mutations.py [name ...]    Runs the named mutations, or all. Prints for each whether the test failed as
it must, and the first failure that the test reported. Needs the same tools as the build. The module of a mutation and
that of its test are found by their files.
"""
import concurrent.futures
import pathlib
import re
import shutil
import subprocess
import sys
import threading

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORK = ROOT / "target" / "proofs"
# Builds at a time: each compiles up to six modules.
WORKERS = 2
MAIN = "src/main/kotlin/rhubarbspool"

# name: (file below MAIN of its module, original text, replacement, test class, number of seeds)
MUTATIONS = {
    "promise-not-kept": (
        "lease/PromiseRegistry.kt", "        promisedAt[subject] = now\n", "", "ControlFuzzTest", 300),
    "unnamed-takes-over": (
        "control/TakeoverSystem.kt",
        "val local = self in member.successors && isDue", "val local = member.domain == state.identity.domain && isDue",
        "ControlFuzzTest", 300),
    "asks-confirmed-list-only": (
        "lease/HolderLease.kt", "get() = confirmed + proposed", "get() = confirmed", "ControlFuzzTest", 300),
    "wait-shorter-than-lease": (
        "lease/LeaseTimes.kt", "get() = withClockDrift(lease)", "get() = lease / 2", "ControlFuzzTest", 300),
    "regains-by-promises": (
        "lease/HolderLease.kt", "if (!lapsed && now >= validUntil(duration)) lapsed = true\n        return !lapsed",
        "return now < validUntil(duration)", "ControlFuzzTest", 300),
    "serves-on-incomplete-rows": (
        "control/RouterCoordinator.kt", "val complete = state.completeRevision >= maxOf(entry.version, state.leaseReacquiredVersion)",
        "val complete = true", "ControlFuzzTest", 300),
    "grants-before-release": (
        "control/ShardMoveSystem.kt", "state.moves.entries.filter { it.value.drained }", "state.moves.entries",
        "ControlFuzzTest", 300),
    "hands-over-before-release": (
        "control/HandoverSystem.kt", "state.handovers.filterValues { it.drained }", "state.handovers",
        "ControlFuzzTest", 300),
    "joins-at-once": (
        "control/JoinSystem.kt", "val waited = now.monotonic - startedAt >= wait", "val waited = true",
        "ControlFuzzTest", 300),
    "promises-for-earlier-generation": (
        "control/ControlNode.kt", "if (generation != state.generation || state.phase == Phase.LEFT) return false\n", "",
        "ControlFuzzTest", 300),
    "takeover-ignores-own-row": (
        "control/TakeoverSystem.kt", ", Condition(selfKey, state.rows.version(selfKey))", "",
        "ControlFuzzTest", 300),
    "rows-go-back": (
        "table/RowTable.kt", "        if (old != null && old.version >= row.version) return false\n", "",
        "RowCodecTest", 1),
    "drain-ignored": (
        "control/ControlState.kt", "!isDraining(DrainKind.SERVER, server.name.text) &&",
        "true ||", "ControlFuzzTest", 1),
    "late-release-believed": (
        "control/RouterCoordinator.kt", "if (move.order == release.order) move.copy(drained = true) else move",
        "move.copy(drained = true)", "ControlFuzzTest", 300),
    "move-ignores-gate-row": (
        "control/ShardMoveSystem.kt", " + gateUnchanged\n", "\n", "ControlFuzzTest", 300),
    "remote-lease-ignored": (
        "control/RouterCoordinator.kt", "!moves || wait == 0L -> Long.MAX_VALUE", "true -> Long.MAX_VALUE", "ControlFuzzTest", 300),
    "regain-reads-nothing": (
        "control/MemberWrite.kt", "if (state.localLease.lapsed || state.remoteLease.lapsed) state.leaseReacquiredVersion = version\n", "",
        "ControlFuzzTest", 300),
    "runs-without-record": (
        "gate/OnceAdmission.kt", "return if (hasRecord) onRecorded(call, now) else listOf(GateEffect.RecordIntent(request))",
        "return onRecorded(call, now)", "GateFuzzTest", 400),
    "duplicate-record-ignored": (
        "gate/OnceAdmission.kt", "is IntentResult.Duplicate -> onDuplicate(call, result, now)",
        "is IntentResult.Duplicate -> onRecorded(call, now)", "GateFuzzTest", 400),
    "earlier-try-forgotten": (
        "gate/CallCompletion.kt", "        call.mayHaveRun = true\n", "", "GateFuzzTest", 400),
    "attempt-told-as-request": (
        "errors/ErrorKind.kt", "&& !firstAttempt && !noEarlierAttemptRan", "&& false", "GateFuzzTest", 400),
    "slots-ignored": (
        "gate/Dispatcher.kt", "state.inFlight < state.slots.allowed", "state.inFlight < 100", "GateFuzzTest", 400),
    "cold-ignored": (
        "gate/CallCompletion.kt", "    fun onServerCrashed(now: Long): List<GateEffect> {\n        state.slots.resetToCold()\n",
        "    fun onServerCrashed(now: Long): List<GateEffect> {\n", "GateFuzzTest", 400),
    "lingering-ignored": (
        "gate/CallCompletion.kt", "if (call.isSent && slotFree) state.inFlight--", "if (call.isSent) state.inFlight--",
        "GateFuzzTest", 400),
    "suspects-run-again": (
        "gate/CrashSuspects.kt", "crashesOf(fingerprint, now) >= QUARANTINE_CRASHES", "false", "GateFuzzTest", 400),
    "deadline-not-kept": (
        "gate/Dispatcher.kt", "it.deadlineAt <= now }", "it.deadlineAt <= now - 100 }", "GateFuzzTest", 400),
    "missing-server-keeps-work": (
        "traffic/ServerDirectory.kt",
        " &&\n            !hasElapsed(missingSince[it.server], LEAVING_MILLISECONDS, now)", "", "ServerDirectoryTest", 1),
    "resignation-outweighs-own-calls": (
        "placement/TableOutage.kt", ".filterNot(::wasAnswered)", "", "TableOutageTest", 1),
    "limit-not-spent": (
        "dispatch/PoolServer.kt", "        limit.onPermit()\n", "", "ServerLimitReplayTest", 1),
    "stand-in-spends-all": (
        "dispatch/ServerLimit.kt", "if (isStandIn) STAND_IN_SHARE else 1.0", "1.0", "ServerLimitReplayTest", 1),
    "late-response-lifts-limit": (
        "dispatch/ServerLimit.kt", "named == null || permittedAt < namedAt", "named == null", "ServerLimitReplayTest", 1),
    "limit-not-planned": (
        "ownership/LoadPlan.kt", "if (limit == null) slotRate else minOf(slotRate, maxOf(limit, MINIMUM_LIMIT))", "slotRate",
        "LoadPlanTest", 1),
    "refusal-without-statement": (
        "dispatch/ExecutionRecord.kt", "get() = statesNotExecuted && namesRequest", "get() = namesRequest",
        "ExecutionRecordTest", 1),
    "refusal-of-another-request": (
        "dispatch/ExecutionRecord.kt", "get() = statesNotExecuted && namesRequest", "get() = statesNotExecuted",
        "ExecutionRecordTest", 1),
    "refusal-beside-fault": (
        "dispatch/ExecutionRecord.kt", "namesRequest && status in REFUSAL_STATUSES", "namesRequest", "ExecutionRecordTest", 1),
    "promise-after-send": (
        "dispatch/ExecutionRecord.kt", "if (code in PromiseStatuses && unresolved.isNotEmpty()) return null\n", "",
        "ExecutionRecordTest", 1),
    "send-after-promise": (
        "dispatch/ExecutionRecord.kt", "        if (isFinal) return null\n", "", "ExecutionRecordTest", 1),
    "leaving-ignores-incarnation": (
        "traffic/LeavingServers.kt", "?.takeIf { it.bornWall == entry.bornWall }", "", "LeavingServersTest", 1),
    "ready-takes-leaving-back": (
        "traffic/ServerDirectory.kt", "val announcedAt = announced.since(reported)", "val announcedAt: Long? = null",
        "LeavingServersTest", 1),
    "shorter-pause-counts": (
        "traffic/ServerPauses.kt", "val isLonger = bounded > remaining(entry, now)", "val isLonger = true",
        "ServerPausesTest", 1),
    "restored-lease-taken-at-once": (
        "ownership/LeaseRow.kt", "        if (epoch > this.epoch) restoredAt = now\n", "", "CoordinatorLeaseTest", 1),
    "restored-row-ends-lease": (
        "ownership/CoordinatorLease.kt", "val isLost = if (isRestored) !isHeld(now) else holder != self", "val isLost = holder != self",
        "CoordinatorLeaseTest", 1),
    "expired-lease-kept": (
        "ownership/CoordinatorLease.kt", "val isLost = if (isRestored) !isHeld(now) else holder != self",
        "val isLost = !isRestored && holder != self", "CoordinatorLeaseTest", 1),
    "restored-tokens-again": (
        "ownership/OwnershipDocument.kt", "fences.max() + restorations * UNKNOWN_FENCES", "fences.max()",
        "OwnershipFuzzTest", 1),
    "server-returns-with-copy": (
        "traffic/ResurfacedEntries.kt", "known ?: ended[entry.server] ?: return false", "known ?: return false",
        "ServerDirectoryTest", 1),
    "copy-makes-cold": (
        "traffic/ServerDirectory.kt", "fromCopy && resurfaced", "false && resurfaced", "ServerDirectoryTest", 1),
    "removed-lease-not-believed": (
        "ownership/LeaseRow.kt", "tableVersion < this.tableVersion", "version < this.version", "CoordinatorLeaseTest", 1),
    "refused-grant-not-held": (
        "ownership/HoldTable.kt", "val mayHold = result != OrderResult.NOT_SENT",
        "val mayHold = result == OrderResult.ACCEPTED || result == OrderResult.UNANSWERED", "GrantResultTest", 1),
    "contact-with-any-ends-loss": (
        "placement/InstanceReachability.kt", "return losses.remove(instance) != null",
        "return losses.values.removeAll { it.domain == domain }", "InstanceReachabilityTest", 1),
    "answered-challenge-removes": (
        "placement/MembershipSweep.kt", "!suspect.isChallenged -> SweepStep.Challenge(suspect).takeUnless { hasAnswered }",
        "!suspect.isChallenged -> SweepStep.Challenge(suspect)", "MembershipSweepTest", 1),
    "stop-admits-all": (
        "dispatch/PlannedStop.kt", "now < leftRotationAt || deadlineAt <= lastDeadlineAt", "now < endsAt",
        "PlannedStopAdmissionTest", 1),
    "response-to-another-believed": (
        "dispatch/ConnectionRecord.kt", "ids.isNotEmpty() && ids.all { it == inFlight }", "ids.isNotEmpty()",
        "ConnectionRecordTest", 1),
    "two-ids-believed": (
        "dispatch/ConnectionRecord.kt", "ids.all { it == inFlight }", "ids.any { it == inFlight }",
        "ConnectionRecordTest", 1),
    "unnamed-on-used-connection": (
        "dispatch/ConnectionRecord.kt", "requestCount == 1 && disorder == null", "disorder == null",
        "ConnectionRecordTest", 1),
    "unnamed-behind-disorder": (
        "dispatch/ConnectionRecord.kt", "requestCount == 1 && disorder == null", "requestCount == 1",
        "ConnectionRecordTest", 1),
    "one-id-for-two-requests": (
        "dispatch/ConnectionRecord.kt", " && id !in marks", "", "ConnectionRecordTest", 1),
    "disorder-ignored": (
        "dispatch/ConnectionRecord.kt", "disorder == null && requestCount <", "requestCount <", "ConnectionRecordTest", 1),
    "reuse-not-suspended": (
        "dispatch/ConnectionReuse.kt", "suspensions[address]?.let { now >= it.until } ?: true", "true",
        "ConnectionReuseTest", 1),
    "id-not-asked-for": (
        "entry/ServerConnections.kt", "usable.firstOrNull { it.connection.record.mayCarry(id) }", "usable.firstOrNull()",
        "ServerConnectionsTest", 1),
    "disordered-connection-kept": (
        "entry/ServerConnections.kt", "connection.record.isReusable && ", "", "ServerConnectionsTest", 1),
    "suspended-connection-kept": (
        "entry/ServerConnections.kt", " && reuse.isAllowed(connection.address, now)", "", "ServerConnectionsTest", 1),
    "idle-connections-kept": (
        "entry/ServerConnections.kt",
        "        idle.remove(connection.address)?.forEach { it.connection.channel.close() }\n", "",
        "ServerConnectionsTest", 1),
    "disorder-not-told": (
        "entry/ServerConnection.kt", "        record.disorder?.let { keeper.onDisorder(this, it) }\n", "",
        "ServerConnectionsTest", 1),
    "surplus-unseen": (
        "entry/ServerExchange.kt", "        record.onDisorder(Disorder.SURPLUS_BYTES)\n", "", "ServerExchangeTest", 1),
    "decoder-drops-its-rest": (
        "entry/ServerExchange.kt", "hasEnded || response.isComplete -> onSurplus()", "hasEnded -> onSurplus()",
        "ServerExchangeTest", 1),
    "decoder-outlives-exchange": (
        "entry/ServerExchange.kt", "        codec.removeFrom(channel.pipeline())\n", "", "ServerExchangeTest", 1),
    "relayed-within-read": (
        "entry/ServerExchange.kt", "?: streamIfLarge()",
        "?: if (response.isComplete && !response.isDoubtful) complete() else streamIfLarge()", "ServerExchangeTest", 1),
    "not-settled": (
        "entry/ServerExchange.kt", "if (!response.isDoubtful) {", "if (response.isComplete) {", "ServerExchangeTest", 1),
    "end-streamed-at-once": (
        "entry/ServerExchange.kt", "if (head == null || response.isComplete) return", "if (head == null) return",
        "ServerExchangeTest", 1),
    "repeat-in-body": (
        "entry/ResponseAssembly.kt", "scanner.hasRepeat || ", "", "ServerExchangeTest", 1),
    "status-line-beside-surplus": (
        "entry/ResponseAssembly.kt", "(isBegun && isDisordered) || ", "", "ServerExchangeTest", 1),
    "status-line-in-unframed-body": (
        "entry/ResponseAssembly.kt", " || (scanner.hasStatusLine && isUnframed)", "", "ServerExchangeTest", 1),
    "end-of-body-not-minded": (
        "entry/ResponseAssembly.kt", "scanner.hasStatusLine || scanner.begunBytes > 0", "scanner.hasStatusLine",
        "ServerExchangeTest", 1),
    "end-of-body-not-settled": (
        "entry/ResponseAssembly.kt", " || scanner.begunBytes > 1", "", "ServerExchangeTest", 1),
    "cut-status-line-in-body": (
        "entry/StatusLineScanner.kt", "STATUS_LINE_BYTES = 10", "STATUS_LINE_BYTES = 12", "ServerExchangeTest", 1),
    "cut-status-line-in-head": (
        "edge/StatusLines.kt", 'HTTP/1[.][01] [0-9]"', 'HTTP/1[.][01] [0-9]{3}"', "ServerExchangeTest", 1),
    "paused-while-settling": (
        "entry/ServerExchange.kt", "            channel.config().isAutoRead = true\n", "", "ServerExchangeTest", 1),
    "repeat-over-two-reads": (
        "entry/StatusLineScanner.kt", "bytes.copyOfRange(open, bytes.size)", "ByteArray(0)",
        "ServerExchangeTest", 1),
    "status-line-in-head": (
        "entry/ResponseAssembly.kt", "            StatusLines.isIn(response) -> BreakCause.NOT_HTTP\n", "",
        "ServerExchangeTest", 1),
    "unframed-response-skipped": (
        "entry/ResponseAssembly.kt", "isSkipping && final.isFramed", "isSkipping", "ServerExchangeTest", 1),
    "unnamed-ahead-of-another": (
        "entry/ResponseAssembly.kt", "isMixed || (isUnnamed && isDisordered)", "isMixed", "ServerExchangeTest", 1),
    "interim-ahead-of-responses": (
        "entry/CallerConnection.kt", "interim.expect(context, isAnswered)", "interim.expect(context, true)",
        "InterimResponseTest", 1),
    "interim-not-sent-later": (
        "entry/CallerConnection.kt", "        if (isAnswered) interim.send(context)\n", "", "InterimResponseTest", 1),
    "interim-behind-body": (
        "entry/CallerConnection.kt",
        "    override fun onRequest(request: CallerRequest, keepAlive: Boolean) {\n        interim.cancel()\n",
        "    override fun onRequest(request: CallerRequest, keepAlive: Boolean) {\n", "InterimResponseTest", 1),
    "interim-through-encoder": (
        "entry/InterimResponse.kt",
        "context.pipeline().context(HttpServerCodec::class.java)\n"
        "            .writeAndFlush(Unpooled.copiedBuffer(CONTINUE, Charsets.US_ASCII))",
        "val version = io.netty.handler.codec.http.HttpVersion.HTTP_1_1\n"
        "        val status = io.netty.handler.codec.http.HttpResponseStatus.CONTINUE\n"
        "        context.writeAndFlush(io.netty.handler.codec.http.DefaultFullHttpResponse(version, status))",
        "InterimResponseTest", 1),
}


def module_of(pattern):
    """The module with the one file that matches [pattern]."""
    found = [module for module in [*ROOT.glob("rhubarbspool-*"), ROOT / "platform"] if list(module.glob(pattern))]
    if len(found) != 1:
        raise ValueError(f"{len(found)} modules have {pattern}")
    return found[0].name


def workplace(tested):
    """The calling thread's copy of the sources for tests of the module [tested], which keeps what was compiled."""
    copy = WORK / f"{threading.current_thread().name}-{tested}"
    if copy.exists():
        return copy
    copy.mkdir(parents=True)
    shutil.copy(ROOT / "pom.xml", copy)
    for module in [*ROOT.glob("rhubarbspool-*"), ROOT / "platform"]:
        (copy / module.name).mkdir()
        shutil.copy(module / "pom.xml", copy / module.name)
        shutil.copytree(module / "src" / "main", copy / module.name / "src" / "main")
    shutil.copytree(ROOT / tested / "src" / "test", copy / tested / "src" / "test")
    return copy


def run(name):
    file, old, new, test, _ = MUTATIONS[name]
    tested = module_of(f"src/test/kotlin/**/{test}.kt")
    copy = workplace(tested)
    target = copy / module_of(f"{MAIN}/{file}") / MAIN / file
    text = target.read_text()
    if text.count(old) != 1:
        return f"{name}: NOT APPLIED ({text.count(old)} matches in {file})"
    target.write_text(text.replace(old, new))
    try:
        return verdict(name, copy, tested)
    finally:
        target.write_text(text)


def verdict(name, copy, tested):
    """What the test of the mutation [name] shows, which is applied in [copy]."""
    test, seeds = MUTATIONS[name][3:]
    command = ["mvn", "-o", "-B", "-q", "-pl", tested, "-am", "test", f"-Dtest={test}",
               f"-Drhubarbspool.seeds={seeds}", "-Dsurefire.failIfNoSpecifiedTests=false",
               "-Dkotlin.compiler.incremental=true"]
    result = subprocess.run(command, cwd=copy, capture_output=True, text=True)
    output = result.stdout + result.stderr
    if result.returncode == 0:
        return f"{name}: SURVIVED"
    if "COMPILATION ERROR" in output or "error:" in output:
        return f"{name}: DOES NOT COMPILE {output[:300]}"
    seen = re.findall(r"^seed \d+:.*$|Expected .* but was .*$", output, re.M)
    failed = re.findall(r"^\[ERROR\] +(\w+Test\..*)$", output, re.M)
    if not seen and not failed:
        return f"{name}: DID NOT RUN {output[:300]}"
    return f"{name}: noticed: {(seen or failed)[0][:200]}"


def main():
    names = sys.argv[1:] or list(MUTATIONS)
    shutil.rmtree(WORK, ignore_errors=True)
    with concurrent.futures.ThreadPoolExecutor(max_workers=WORKERS) as pool:
        for line in pool.map(run, names):
            print(line, flush=True)


if __name__ == "__main__":
    main()
