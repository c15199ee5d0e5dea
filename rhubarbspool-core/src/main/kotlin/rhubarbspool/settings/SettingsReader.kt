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

/** Reads the entries of one mapping of a document; [errors] is shared by the whole document. */
class SettingsReader private constructor(
    private val path: String,
    private val entries: Map<String, YamlNode>,
    private val errors: MutableList<SettingsError>,
) {
    private val knownNames = sortedSetOf<String>()

    /** Value under [name] as [convert] reads it, or [default]; a fault that names [allowed] when there is neither. */
    fun <T : Any> value(name: String, allowed: String, default: T?, convert: (String) -> T?): T? {
        knownNames += name
        val node = entries[name]
        val value = (node as? YamlScalar)?.content?.let(convert)
        if (value != null) return value
        if (node != null || default == null) addError(name, node?.let(::describe) ?: "nothing", allowed)
        return default
    }

    /** Reads the mapping under [name]; an absent one is read as empty. */
    fun <T> section(name: String, read: (SettingsReader) -> T): T {
        knownNames += name
        val node = entries[name]
        if (node != null && node !is YamlMap && node !is YamlNull) addError(name, describe(node), "a mapping")
        return readSection(pathOf(name), node as? YamlMap, read)
    }

    /** Reads each mapping of the list under [name]. */
    fun <T> sections(name: String, range: IntRange, read: (SettingsReader) -> T): List<T> {
        knownNames += name
        val node = entries[name]
        val items = (node as? YamlList)?.items ?: emptyList()
        if (node != null && node !is YamlList) addError(name, describe(node), "a list")
        if (items.size !in range) addError(name, "${items.size} items", "${range.first} to ${range.last} items")
        return items.mapIndexed { position, item ->
            if (item !is YamlMap) addError("$name[$position]", describe(item), "a mapping")
            readSection(pathOf("$name[$position]"), item as? YamlMap, read)
        }
    }

    /** Reads each text of the list under [name]. */
    fun texts(name: String): List<String> {
        knownNames += name
        val node = entries[name] ?: return emptyList()
        if (node !is YamlList) addError(name, describe(node), "a list of texts")
        return (node as? YamlList)?.items?.filterIsInstance<YamlScalar>()?.map { it.content } ?: emptyList()
    }

    /** Adds a fault that only shows when several values are seen together. */
    fun addError(name: String, found: String, allowed: String) {
        errors += SettingsError(pathOf(name), found, allowed)
    }

    private fun <T> readSection(sectionPath: String, node: YamlMap?, read: (SettingsReader) -> T): T {
        val reader = SettingsReader(sectionPath, entriesOf(node), errors)
        return read(reader).also { reader.rejectUnknownNames() }
    }

    private fun rejectUnknownNames() {
        entries.keys.filter { it !in knownNames }.forEach { name ->
            addError(name, "an unknown name", "one of ${knownNames.joinToString()}")
        }
    }

    private fun pathOf(name: String): String = if (path.isEmpty()) name else "$path.$name"

    companion object {
        /** Reads [document] with [read]; every fault of the document when there is any. */
        fun <T> read(document: String, read: (SettingsReader) -> T): Either<List<SettingsError>, T> = try {
            val node = Yaml.default.parseToYamlNode(document)
            val errors = mutableListOf<SettingsError>()
            if (node !is YamlMap) errors += SettingsError("document", describe(node), "a mapping")
            val reader = SettingsReader("", entriesOf(node as? YamlMap), errors)
            val value = read(reader)
            reader.rejectUnknownNames()
            if (errors.isEmpty()) value.right() else errors.left()
        } catch (exception: YamlException) {
            listOf(SettingsError("line ${exception.line}", exception.message, "a YAML document")).left()
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
