/*
 * Errors of a settings document. All errors of a document are reported together.
 */
package rhubarbspool.settings

/**
 * One error of a settings document.
 *
 * @property path where in the document, such as `routes[2].deadline`.
 * @property found the value found there.
 * @property allowed what is allowed there.
 */
data class SettingsError(val path: String, val found: String, val allowed: String) {
    override fun toString(): String = "$path: found $found; allowed: $allowed"
}
