package rhubarbspool.lab
import com.github.ajalt.clikt.core.CliktCommand
internal class ExperimentCommand : CliktCommand(name = "experiment") { override fun run() = Unit }
