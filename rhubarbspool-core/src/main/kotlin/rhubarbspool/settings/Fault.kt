/*
 * Faults of a settings document. All faults of a document are reported together.
 */
package rhubarbspool.settings

/**
 * One fault of a settings document.
 *
 * @property path where in the document, such as `routes[2].deadline`.
 * @property seen the value found there.
 * @property allowed what is allowed there.
 */
data class Fault(val path: String, val seen: String, val allowed: String) {
    override fun toString(): String = "$path: found $seen; allowed: $allowed"
}
