/*
 * Reads a YAML document value by value and collects all errors instead of stopping at the first one.
 * An invalid value is replaced by a placeholder so that reading can continue; the result is discarded when there
 * is any error.
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

/** Reads the entries of one mapping of a document; [errors] is shared by all readers of the document. */
class SettingsReader private constructor(
    private val path: String,
    private val entries: Map<String, YamlNode>,
    private val errors: MutableList<SettingsError>,
) {
    private val knownNames = sortedSetOf<String>()

    /**
     * Returns the value under [name] converted by [convert], or [default] when it is absent. Adds an error that
     * describes [allowed] when the value is invalid, or is absent and has no default.
     */
    fun <T : Any> value(name: String, allowed: String, default: T?, convert: (String) -> T?): T? {
        knownNames += name
        val node = entries[name]
        val value = (node as? YamlScalar)?.content?.let(convert)
        if (value != null) return value
        if (node != null || default == null) addError(name, node?.let(::describe) ?: "nothing", allowed)
        return default
    }

    /** Reads the mapping under [name]; an absent mapping counts as empty. */
    fun <T> section(name: String, read: (SettingsReader) -> T): T {
        knownNames += name
        val node = entries[name]
        if (node != null && node !is YamlMap && node !is YamlNull) addError(name, describe(node), "a mapping")
        return readSection(pathOf(name), node as? YamlMap, read)
    }

    /** Reads each mapping of the list under [name], whose size must be in [range]. */
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

    /** Returns the strings of the list under [name]; an absent list counts as empty. */
    fun texts(name: String): List<String> {
        knownNames += name
        val node = entries[name] ?: return emptyList()
        if (node !is YamlList) addError(name, describe(node), "a list of texts")
        return (node as? YamlList)?.items?.filterIsInstance<YamlScalar>()?.map { it.content } ?: emptyList()
    }

    /** Adds an error at [name], for checks that concern several values. */
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
        /** Reads [document] with [read]; returns all errors of the document when there are any. */
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
