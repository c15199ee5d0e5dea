/*
 * Parameters of a load run.
 */
package rhubarbspool.lab

import rhubarbspool.model.Address

/**
 * Parameters of a load run.
 *
 * @property targets addresses that callers connect to, used round-robin.
 * @property path path of reads, with the placeholder {key}.
 * @property bookingPath path of bookings, with the placeholder {key}; null for reads only.
 * @property bookingShare share of requests that are bookings.
 * @property rate requests per second.
 * @property warmUpSeconds seconds of load before requests are counted.
 * @property keys number of keys, used round-robin.
 * @property seconds seconds of load after the warm-up.
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
    /** Whether request [number] is a booking; bookings are spread evenly over the sequence of requests. */
    fun isBooking(number: Long): Boolean =
        bookingPath != null && (number * GOLDEN_RATIO).mod(1.0) < bookingShare

    private companion object {
        const val GOLDEN_RATIO = 0.618033988749895
    }
}
