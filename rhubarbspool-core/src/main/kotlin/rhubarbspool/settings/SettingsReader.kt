/*
 * Reads a YAML document value by value and collects every fault instead of stopping at the first one.
 * A faulty value is replaced by a placeholder, so that reading goes on; the caller throws the result away
 * when any fault was found.
 */
package rhubarbspool.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import rhubarbspool.model.Address

/** Reads the entries of one mapping of a document; [faults] is shared by the whole document. */
class SettingsReader private constructor(
    private val path: String,
    private val entries: Map<String, YamlNode>,
    private val faults: MutableList<Fault>,
) {
    private val known = sortedSetOf<String>()

    /** Text under [name]; a fault when it is missing and there is no [default]. */
    fun text(name: String, default: String? = null): String = scalar(name, "a text", default) { it }.orEmpty()

    /** Text under [name] that [pattern] matches; [shape] says so in words. */
    fun text(name: String, pattern: Regex, shape: String, default: String? = null): String =
        scalar(name, shape, default) { text -> text.takeIf { pattern.matches(it) } }.orEmpty()

    /** Whole number under [name] within [range]. */
    fun number(name: String, range: LongRange, default: Long? = null): Long =
        scalar(name, "a whole number from ${range.first} to ${range.last}", default) { text ->
            text.toLongOrNull()?.takeIf { it in range }
        } ?: range.first

    /** Milliseconds of the duration under [name] within [range]. */
    fun duration(name: String, range: LongRange, default: Long? = null): Long {
        val bounds = "${DurationText.format(range.first)} to ${DurationText.format(range.last)}"
        return scalar(name, "${DurationText.SHAPE}, from $bounds", default) { text ->
            DurationText.parse(text)?.takeIf { it in range }
        } ?: range.first
    }

    /** Bytes of the size under [name] within [range]. */
    fun size(name: String, range: LongRange, default: Long? = null): Long {
        val bounds = "${SizeText.format(range.first)} to ${SizeText.format(range.last)}"
        return scalar(name, "${SizeText.SHAPE}, from $bounds", default) { text ->
            SizeText.parse(text)?.takeIf { it in range }
        } ?: range.first
    }

    /** `true` or `false` under [name]. */
    fun flag(name: String, default: Boolean? = null): Boolean =
        scalar(name, "true or false", default) { it.toBooleanStrictOrNull() } ?: false

    /** One of [values] under [name], written as [label] gives it. */
    fun <T : Any> choice(name: String, values: List<T>, default: T? = null, label: (T) -> String): T =
        scalar(name, "one of ${values.joinToString(transform = label)}", default) { text ->
            values.firstOrNull { label(it) == text }
        } ?: values.first()

    /** Numeric address under [name]. */
    fun address(name: String, default: Address? = null): Address =
        scalar(name, "an IP number and a port, such as 127.0.0.1:8080", default) { Address.parse(it) }
            ?: Address("0.0.0.0", 1)

    /** Whether the document has an entry [name]. */
    fun has(name: String): Boolean = name in entries

    /** Reads the mapping under [name]; an absent one is read as empty. */
    fun <T> section(name: String, read: (SettingsReader) -> T): T {
        known += name
        val node = entries[name]
        if (node != null && node !is YamlMap && node !is YamlNull) fault(name, describe(node), "a mapping")
        return child(at(name), node as? YamlMap, read)
    }

    /** Reads each mapping of the list under [name]. */
    fun <T> sections(name: String, range: IntRange, read: (SettingsReader) -> T): List<T> {
        known += name
        val node = entries[name]
        val items = (node as? YamlList)?.items ?: emptyList()
        if (node != null && node !is YamlList) fault(name, describe(node), "a list")
        if (items.size !in range) fault(name, "${items.size} items", "${range.first} to ${range.last} items")
        return items.mapIndexed { position, item ->
            if (item !is YamlMap) fault("$name[$position]", describe(item), "a mapping")
            child(at("$name[$position]"), item as? YamlMap, read)
        }
    }

    /** Reads each text of the list under [name]. */
    fun texts(name: String): List<String> {
        known += name
        val node = entries[name] ?: return emptyList()
        if (node !is YamlList) fault(name, describe(node), "a list of texts")
        return (node as? YamlList)?.items?.filterIsInstance<YamlScalar>()?.map { it.content } ?: emptyList()
    }

    /** Adds a fault that only shows when several values are seen together. */
    fun fault(name: String, seen: String, allowed: String) {
        faults += Fault(at(name), seen, allowed)
    }

    private fun <T : Any> scalar(name: String, allowed: String, default: T?, convert: (String) -> T?): T? {
        known += name
        val node = entries[name]
        val value = (node as? YamlScalar)?.content?.let(convert)
        if (value != null) return value
        if (node != null || default == null) fault(name, node?.let(::describe) ?: "nothing", allowed)
        return default
    }

    private fun <T> child(childPath: String, node: YamlMap?, read: (SettingsReader) -> T): T {
        val reader = SettingsReader(childPath, entriesOf(node), faults)
        return read(reader).also { reader.refuseUnknownNames() }
    }

    private fun refuseUnknownNames() {
        entries.keys.filter { it !in known }.forEach { name ->
            fault(name, "an unknown name", "one of ${known.joinToString()}")
        }
    }

    private fun at(name: String): String = if (path.isEmpty()) name else "$path.$name"

    companion object {
        /** Reads [document] with [read]; every fault of the document when there is any. */
        fun <T> read(document: String, read: (SettingsReader) -> T): Either<List<Fault>, T> = try {
            val node = Yaml.default.parseToYamlNode(document)
            val faults = mutableListOf<Fault>()
            if (node !is YamlMap) faults += Fault("document", describe(node), "a mapping")
            val reader = SettingsReader("", entriesOf(node as? YamlMap), faults)
            val value = read(reader)
            reader.refuseUnknownNames()
            if (faults.isEmpty()) value.right() else faults.left()
        } catch (exception: YamlException) {
            listOf(Fault("line ${exception.line}", exception.message, "a YAML document")).left()
        }

        private fun entriesOf(node: YamlMap?): Map<String, YamlNode> =
            node?.entries?.entries?.associate { it.key.content to it.value } ?: emptyMap()

        private fun describe(node: YamlNode): String = when (node) {
            is YamlScalar -> "\"${node.content}\""
            is YamlList -> "a list"
            is YamlMap -> "a mapping"
            else -> "nothing"
        }
    }
}
