/*
 * What a load run asks for.
 */
package rhubarbspool.lab

import rhubarbspool.model.Address

/**
 * A load run.
 *
 * @property targets where callers connect; requests go to them in turn.
 * @property path path of reads, with {key}.
 * @property bookingPath path of bookings, with {key}; null for reads alone.
 * @property bookingShare share of requests that are bookings.
 * @property rate requests a second.
 * @property warmUpSeconds how long requests are sent before they count.
 * @property keys number of keys that requests are spread over evenly.
 */
internal data class LoadPlan(
    val targets: List<Address>,
    val path: String,
    val bookingPath: String?,
    val bookingShare: Double,
    val rate: Int,
    val seconds: Int,
    val warmUpSeconds: Int,
    val keys: Int,
) {
    /** Whether request number [number] is a booking. */
    fun isBooking(number: Long): Boolean =
        bookingPath != null && (number * GOLDEN_RATIO).mod(1.0) < bookingShare

    private companion object {
        const val GOLDEN_RATIO = 0.618033988749895
    }
}
