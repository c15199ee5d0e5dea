/*
 * Values of the usual shapes, read by a [SettingsReader]. A faulty value is replaced by a placeholder.
 */
package rhubarbspool.settings

import rhubarbspool.model.Address

/** Text under [name]; a fault when it is missing and there is no [default]. */
fun SettingsReader.text(name: String, default: String? = null): String =
    value(name, "a text", default) { it }.orEmpty()

/** Text under [name] that [pattern] matches; [allowed] says so in words. */
fun SettingsReader.text(name: String, pattern: Regex, allowed: String): String =
    value(name, allowed, null) { text -> text.takeIf { pattern.matches(it) } }.orEmpty()

/** Whole number under [name] within [range]. */
fun SettingsReader.number(name: String, range: LongRange, default: Long? = null): Long =
    value(name, "a whole number from ${range.first} to ${range.last}", default) { text ->
        text.toLongOrNull()?.takeIf { it in range }
    } ?: range.first

/** Milliseconds of the duration under [name] within [range]. */
fun SettingsReader.duration(name: String, range: LongRange, default: Long? = null): Long {
    val bounds = "${DurationText.format(range.first)} to ${DurationText.format(range.last)}"
    return value(name, "${DurationText.FORMAT_DESCRIPTION}, from $bounds", default) { text ->
        DurationText.parse(text)?.takeIf { it in range }
    } ?: range.first
}

/** Bytes of the size under [name] within [range]. */
fun SettingsReader.size(name: String, range: LongRange, default: Long? = null): Long {
    val bounds = "${SizeText.format(range.first)} to ${SizeText.format(range.last)}"
    return value(name, "${SizeText.FORMAT_DESCRIPTION}, from $bounds", default) { text ->
        SizeText.parse(text)?.takeIf { it in range }
    } ?: range.first
}

/** `true` or `false` under [name]. */
fun SettingsReader.flag(name: String, default: Boolean? = null): Boolean =
    value(name, "true or false", default) { it.toBooleanStrictOrNull() } ?: false

/** One of [values] under [name], written as [label] gives it. */
fun <T : Any> SettingsReader.choice(name: String, values: List<T>, default: T? = null, label: (T) -> String): T =
    value(name, "one of ${values.joinToString(transform = label)}", default) { text ->
        values.firstOrNull { label(it) == text }
    } ?: values.first()

/** Numeric address under [name]. */
fun SettingsReader.address(name: String): Address =
    value(name, "an IP number and a port, such as 127.0.0.1:8080", null) { Address.parse(it) }
        ?: Address("0.0.0.0", Address.MINIMUM_PORT)
