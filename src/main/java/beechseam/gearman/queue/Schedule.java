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
    /** A place in the schedule; {@code dueAtNs} by the host's clock, {@code order} of arrival. */
    public record Ticket(long dueAtNs, long order) implements Comparable<Ticket> {
        @Override
        public int compareTo(Ticket other) {
            int byTime = Long.compare(dueAtNs, other.dueAtNs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final int YEARS_AHEAD = 9; // a 29 February on a given weekday may be decades off: refused

    private final TreeMap<Ticket, J> waiting = new TreeMap<>();
    private long order;

    /** Adds a job that is due at that time of the host's clock, in nanoseconds; the ticket removes it. */
    public Ticket add(long dueAtNs, J job) {
        Ticket ticket = new Ticket(dueAtNs, ++order);
        waiting.put(ticket, job);
        return ticket;
    }

    /** Removes a job; false where it was not there any more. */
    public boolean remove(Ticket ticket) {
        return waiting.remove(ticket) != null;
    }

    /** Removes and returns the next that is due, or null. */
    public J pollDue(long nowNs) {
        Map.Entry<Ticket, J> first = waiting.firstEntry();
        if (first == null || first.getKey().dueAtNs() > nowNs) {
            return null;
        }
        return waiting.pollFirstEntry().getValue();
    }

    /** When the next is due, in nanoseconds; {@code Long.MAX_VALUE} for never. */
    public long nextDueNs() {
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.firstKey().dueAtNs();
    }

    /** Number of jobs that are not due yet. */
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
    public static ZonedDateTime nextMatch(ZonedDateTime from, String... fields) {
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

    private static int field(String name, String text, int min, int max) {
        if (text.isEmpty() || text.equals("*")) {
            return -1;
        }
        try {
            int value = Integer.parseInt(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below, with its bounds
        }
        throw new IllegalArgumentException(name + " must be from " + min + " to " + max + ", not '"
                + (text.length() > 20 ? text.substring(0, 20) + "..." : text) + "'");
    }
}
