/*
 * Exit codes of the command line.
 */
package rhubarbspool.command

/** Exit codes other than success (0) and wrong usage (2). */
object ExitCodes {
    const val FAILED: Int = 1
    const val INVALID_DOCUMENT: Int = 3
    const val CONFLICT: Int = 4
    const val PLATFORM_UNAVAILABLE: Int = 5
}
