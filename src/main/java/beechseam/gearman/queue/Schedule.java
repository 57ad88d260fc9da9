package beechseam.gearman.queue;

import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.TreeMap;

/**
 * Jobs that wait for the clock, by when they are due and, of one time, in the order in which they came.
 * Adding, taking and leaving are O(log n).
 */
public final class Schedule<J> {
    private record Due(long at, long order) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final int YEARS_AHEAD = 9; // a 29 February on a given weekday may be decades off: refused

    private final TreeMap<Due, J> waiting = new TreeMap<>();
    private long order;

    /** Gives a mark with which the job can leave again. */
    public Object add(long at, J job) {
        Due due = new Due(at, ++order);
        waiting.put(due, job);
        return due;
    }

    /** Whether it was still there. */
    public boolean remove(Object mark) {
        return waiting.remove(mark) != null;
    }

    /** The next that is due, taken out, or null. */
    public J due(long now) {
        Map.Entry<Due, J> first = waiting.firstEntry();
        if (first == null || first.getKey().at() > now) {
            return null;
        }
        return waiting.pollFirstEntry().getValue();
    }

    /** When the next is due; {@code Long.MAX_VALUE} for never. */
    public long next() {
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.firstKey().at();
    }

    public int size() {
        return waiting.size();
    }

    /**
     * The next minute that the five fields of SUBMIT_JOB_SCHED name; an empty one, or {@code *}, is any.
     *
     * @param from a time; the answer is in a later minute
     * @param fields minute (0-59), hour (0-23), day of the month (1-31), month (1-12), day of the week (0-6,
     *     0 is Monday)
     * @throws IllegalArgumentException names the faulty field, or says that no such minute comes within 9
     *     years
     */
    public static ZonedDateTime next(ZonedDateTime from, String... fields) {
        int minute = field("minute", fields[0], 0, 59);
        int hour = field("hour", fields[1], 0, 23);
        int day = field("day of month", fields[2], 1, 31);
        int month = field("month", fields[3], 1, 12);
        int weekday = field("day of week", fields[4], 0, 6);
        ZonedDateTime at = from.truncatedTo(ChronoUnit.MINUTES).plusMinutes(1);
        ZonedDateTime end = from.plusYears(YEARS_AHEAD);
        while (at.isBefore(end)) { // the largest unit that is off is stepped over whole
            if (month >= 0 && at.getMonthValue() != month) {
                at = at.plusMonths(1).withDayOfMonth(1).truncatedTo(ChronoUnit.DAYS);
            } else if (day >= 0 && at.getDayOfMonth() != day
                    || weekday >= 0 && at.getDayOfWeek().getValue() - 1 != weekday) {
                at = at.plusDays(1).truncatedTo(ChronoUnit.DAYS);
            } else if (hour >= 0 && at.getHour() != hour) {
                at = at.plusHours(1).truncatedTo(ChronoUnit.HOURS);
            } else if (minute >= 0 && at.getMinute() != minute) {
                at = at.plusMinutes(1);
            } else {
                return at;
            }
        }
        throw new IllegalArgumentException("no such time comes within " + YEARS_AHEAD + " years");
    }

    private static int field(String name, String text, int least, int most) {
        if (text.isEmpty() || text.equals("*")) {
            return -1;
        }
        try {
            int value = Integer.parseInt(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below, with its bounds
        }
        throw new IllegalArgumentException(name + " must be from " + least + " to " + most + ", not '"
                + (text.length() > 20 ? text.substring(0, 20) + "..." : text) + "'");
    }
}
