/*
 * Reads values of common types from a [SettingsReader]. An invalid value is replaced by a placeholder.
 */
package rhubarbspool.settings

import rhubarbspool.model.Address

/** Returns the string under [name]; adds an error when it is missing and there is no [default]. */
fun SettingsReader.text(name: String, default: String? = null): String =
    value(name, "a text", default) { it }.orEmpty()

/** Returns the string under [name], which must match [pattern]; [allowed] describes the pattern in errors. */
fun SettingsReader.text(name: String, pattern: Regex, allowed: String): String =
    value(name, allowed, null) { text -> text.takeIf { pattern.matches(it) } }.orEmpty()

/** Returns the whole number under [name], which must be in [range]. */
fun SettingsReader.number(name: String, range: LongRange, default: Long? = null): Long =
    value(name, "a whole number from ${range.first} to ${range.last}", default) { text ->
        text.toLongOrNull()?.takeIf { it in range }
    } ?: range.first

/** Returns the duration under [name] in milliseconds, which must be in [range]. */
fun SettingsReader.duration(name: String, range: LongRange, default: Long? = null): Long {
    val bounds = "${DurationText.format(range.first)} to ${DurationText.format(range.last)}"
    return value(name, "${DurationText.FORMAT_DESCRIPTION}, from $bounds", default) { text ->
        DurationText.parse(text)?.takeIf { it in range }
    } ?: range.first
}

/** Returns the size under [name] in bytes, which must be in [range]. */
fun SettingsReader.size(name: String, range: LongRange, default: Long? = null): Long {
    val bounds = "${SizeText.format(range.first)} to ${SizeText.format(range.last)}"
    return value(name, "${SizeText.FORMAT_DESCRIPTION}, from $bounds", default) { text ->
        SizeText.parse(text)?.takeIf { it in range }
    } ?: range.first
}

/** Returns the Boolean under [name], written `true` or `false`. */
fun SettingsReader.flag(name: String, default: Boolean? = null): Boolean =
    value(name, "true or false", default) { it.toBooleanStrictOrNull() } ?: false

/** Returns the one of [values] whose [label] is under [name]. */
fun <T : Any> SettingsReader.choice(name: String, values: List<T>, default: T? = null, label: (T) -> String): T =
    value(name, "one of ${values.joinToString(transform = label)}", default) { text ->
        values.firstOrNull { label(it) == text }
    } ?: values.first()

/** Returns the address under [name]: a numeric IP address and a port. */
fun SettingsReader.address(name: String): Address =
    value(name, "an IP number and a port, such as 127.0.0.1:8080", null) { Address.parse(it) }
        ?: Address("0.0.0.0", Address.MINIMUM_PORT)
