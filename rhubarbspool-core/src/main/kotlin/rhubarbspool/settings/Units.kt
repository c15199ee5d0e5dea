/*
 * Text format of durations and sizes with units in settings.
 */
package rhubarbspool.settings

/** Parses and formats durations such as `250ms`, `3s` or `10m`. */
object DurationText {
    /** Description of the format, for error messages. */
    const val FORMAT_DESCRIPTION: String = "a duration with its unit, such as 250ms, 3s, 10m or 1h"

    private const val SECOND_MILLISECONDS = 1_000L
    private const val MINUTE_MILLISECONDS = 60_000L
    private const val HOUR_MILLISECONDS = 3_600_000L
    private val PATTERN = Regex("""(\d{1,9})(ms|s|m|h)""")
    private val UNITS = mapOf(
        "ms" to 1L,
        "s" to SECOND_MILLISECONDS,
        "m" to MINUTE_MILLISECONDS,
        "h" to HOUR_MILLISECONDS,
    )

    /** Returns the milliseconds of [text], or null when it isn't a valid duration. */
    fun parse(text: String): Long? = PATTERN.matchEntire(text)?.let { match ->
        match.groupValues[1].toLong() * UNITS.getValue(match.groupValues[2])
    }

    /** Formats [milliseconds] with the largest unit that divides them. */
    fun format(milliseconds: Long): String {
        val unit = UNITS.entries.last { milliseconds % it.value == 0L && (milliseconds > 0 || it.value == 1L) }
        return "${milliseconds / unit.value}${unit.key}"
    }
}

/** Parses and formats sizes such as `512B`, `64KiB` or `1MiB`. */
object SizeText {
    /** Description of the format, for error messages. */
    const val FORMAT_DESCRIPTION: String = "a size with its unit, such as 512B, 64KiB or 1MiB"

    private const val KIBIBYTE = 1_024L
    private const val MEBIBYTE = 1_048_576L
    private val PATTERN = Regex("""(\d{1,9})(B|KiB|MiB)""")
    private val UNITS = mapOf("B" to 1L, "KiB" to KIBIBYTE, "MiB" to MEBIBYTE)

    /** Returns the bytes of [text], or null when it isn't a valid size. */
    fun parse(text: String): Long? = PATTERN.matchEntire(text)?.let { match ->
        match.groupValues[1].toLong() * UNITS.getValue(match.groupValues[2])
    }

    /** Formats [bytes] with the largest unit that divides them. */
    fun format(bytes: Long): String {
        val unit = UNITS.entries.last { bytes % it.value == 0L && (bytes > 0 || it.value == 1L) }
        return "${bytes / unit.value}${unit.key}"
    }
}
