/*
 * Platform for entry instances on the loopback interface: a store with one configuration, and backend servers that are
 * registered in it. Ports are picked among those that are free when they are picked.
 */
package rhubarbspool.standins.instance

import io.netty.channel.Channel
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import rhubarbspool.edge.HttpHandler
import rhubarbspool.edge.HttpService
import rhubarbspool.model.Address
import rhubarbspool.standins.FreeAddresses
import java.util.concurrent.TimeUnit

/**
 * Listen addresses of an instance: for callers, for readiness checks, and for other instances. Metrics are served on
 * the port that follows the one of [peers].
 */
data class ListenAddresses(
    val callers: Address = LocalPlatform.freeAddress(),
    val ready: Address = LocalPlatform.freeAddress(),
    val peers: Address = FreeAddresses.next(following = 1),
)

/** Runs the store and the servers; [close] stops them. */
class LocalPlatform : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val channels = ArrayList<Channel>()
    private val instances = ArrayList<AutoCloseable>()
    private val reports = HashMap<String, Int>()

    /** The platform's store. */
    val store = RowStoreStandIn()

    /** Listen address of [store]. */
    val storeAddress: Address = listen(store)

    /** Servers by their ids. */
    val servers = LinkedHashMap<String, KeyedServerStandIn>()

    /** Opens another address of the store, to cut off single instances from it. */
    fun openStoreProxy(): StoreProxy = StoreProxy(store).also { it.address = listen(it) }

    /** Starts a server of [service] in [domain] and writes its entry to the store. */
    fun startServer(
        id: String,
        service: String,
        domain: String,
        sharded: Boolean,
        workMilliseconds: Long = 2,
    ): KeyedServerStandIn {
        val server = KeyedServerStandIn(id, sharded, workMilliseconds)
        servers[id] = server
        putServerEntry(id, service, domain, listen(server), "ready")
        return server
    }

    /** Writes the entry of server [id], as its next report. */
    fun putServerEntry(id: String, service: String, domain: String, address: Address, state: String) {
        val sequence = reports.merge(id, 1, Int::plus)
        val info = """{"service":"$service","version":"v1","zone":"$domain","slots":2}"""
        val status = """{"state":"$state","seq":$sequence,"warmup_left":"0ms"}"""
        store.put("servers", id, """{"address":"$address","born":$BORN,"info":$info,"status":$status}""")
    }

    /** Writes configuration [version]: a safe route to `board`, which is sharded, and an unsafe route to `desk`. */
    fun putConfiguration(version: Int) {
        val routes = tableJson(
            "name,host,prefix,kind,timeout,target_latency,priority,traffic_split,max_attempts,service",
            """"read","127.0.0.1","/read/","safe","1200ms","600ms",2,null,2,"board"""",
            """"book","127.0.0.1","/book/","unsafe","1500ms","800ms",1,null,2,"desk"""",
        )
        val services = tableJson(
            "name,health_path,max_connections,protocol,tls,warmup,cold_per_s,sharded,warm,grants",
            """"board","/healthz",295,"h1",false,"3s",2.6,true,"3s","rpc"""",
            """"desk","/healthz",295,"h1",false,"3s",2.6,null,null,null""",
        )
        val bytes = """"max_header_bytes":16384,"max_body_bytes":65536"""
        val times = """"header_timeout":"3000ms","idle_timeout":"15000ms""""
        val head = """"version":"r$version","limits":{$bytes,$times}"""
        store.put("op", "config", """{$head,"routes":$routes,"services":$services}""")
    }

    private fun tableJson(columns: String, vararg rows: String): String {
        val names = columns.split(',').joinToString(",") { "\"$it\"" }
        return """{"columns":[$names],"rows":[${rows.joinToString(",") { "[$it]" }}]}"""
    }

    /**
     * Text of a settings file for the instance [name] in [domain] that calls the store at [storeEndpoint] and ends
     * within [grace] of a planned stop.
     */
    fun settings(
        name: String,
        domain: String,
        addresses: ListenAddresses,
        storeEndpoint: Address = storeAddress,
        grace: String = "3s",
    ): String = """
        self.node=$name
        self.zone=$domain
        network.listen.front=${addresses.callers}
        network.listen.ready=${addresses.ready}
        network.port_range=${addresses.peers.port},${addresses.peers.port + 1}
        network.zones.east=region
        network.zones.west=region
        platform.platform.address=$storeEndpoint
        terms.bounds.grace=$grace
        terms.bounds.retry_budget_ratio=0.2
        terms.bounds.retry_budget_slack=50
        terms.bounds.retry_window=10s
    """.trimIndent()

    /** Closes [instance], which uses this platform, before the store and the servers. */
    fun closeFirst(instance: AutoCloseable) {
        instances += instance
    }

    override fun close() {
        instances.forEach(AutoCloseable::close)
        channels.forEach { it.close().awaitUninterruptibly() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly()
    }

    private fun listen(handler: HttpHandler): Address {
        val address = freeAddress()
        channels += HttpService(group, handler).listen(address)
        return address
    }

    companion object {
        private const val BORN = 1_700_000_000_000L

        /** An address on the loopback interface with a free port. */
        fun freeAddress(): Address = FreeAddresses.next()
    }
}
