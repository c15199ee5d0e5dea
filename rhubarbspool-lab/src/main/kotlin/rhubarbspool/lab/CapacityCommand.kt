package rhubarbspool.lab
import com.github.ajalt.clikt.core.CliktCommand
internal class CapacityCommand : CliktCommand(name = "capacity") { override fun run() = Unit }
