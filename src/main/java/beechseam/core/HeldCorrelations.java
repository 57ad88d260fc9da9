package beechseam.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Correlation ids of requests that are no longer open here but may still run at a target, or may have run without their
 * client having been told. For a while they are refused, since a further request with such an id would run the job
 * twice. At most {@link #MAX_HELD} ids are held, the latest ones. Each operation is amortized O(1).
 */
final class HeldCorrelations {
    /** Bounds the memory, since clients choose the ids and how often they leave. */
    private static final int MAX_HELD = 20_000;

    /** The time at which each id is free again, on the host's clock, in nanoseconds; in the order of these times. */
    private final Map<String, Long> releaseAtNs = new LinkedHashMap<>();

    private long holdNs;

    /** Sets how long an id is held, in nanoseconds; 0, the initial value, holds none. */
    void setDuration(long durationNs) {
        holdNs = durationNs;
    }

    void hold(String correlation, long nowNs) {
        if (holdNs <= 0) {
            return;
        }
        releaseAtNs.remove(correlation); // so that the id moves to the end
        releaseAtNs.put(correlation, nowNs + holdNs);
        release(nowNs);
    }

    boolean isHeld(String correlation, long nowNs) {
        release(nowNs);
        return releaseAtNs.containsKey(correlation);
    }

    /** The ids that are held now. */
    List<String> all(long nowNs) {
        release(nowNs);
        return List.copyOf(releaseAtNs.keySet());
    }

    private void release(long nowNs) {
        Iterator<Long> times = releaseAtNs.values().iterator();
        while (times.hasNext() && (times.next() <= nowNs || releaseAtNs.size() > MAX_HELD)) {
            times.remove();
        }
    }
}
