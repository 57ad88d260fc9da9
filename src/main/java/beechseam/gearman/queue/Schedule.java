package beechseam.gearman.queue;

import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.TreeMap;

/**
 * Delayed jobs, ordered by due time and, within the same due time, by the order in which they were added. Adding,
 * polling and removing are O(log n).
 */
public final class Schedule<J> {
    /** A position in the schedule: the due time on the host's clock, then the order in which jobs were added. */
    public record Ticket(long dueAtNs, long order) implements Comparable<Ticket> {
        @Override
        public int compareTo(Ticket other) {
            int byTime = Long.compare(dueAtNs, other.dueAtNs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** How far ahead a match is searched; 29 February on a given weekday may be decades ahead and is rejected. */
    private static final int YEARS_AHEAD = 9;

    private final TreeMap<Ticket, J> waiting = new TreeMap<>();
    private long order;

    /** Adds a job that is due at a time of the host's clock, in nanoseconds; the ticket serves to remove it. */
    public Ticket add(long dueAtNs, J job) {
        Ticket ticket = new Ticket(dueAtNs, ++order);
        waiting.put(ticket, job);
        return ticket;
    }

    /** Removes a job; false if it is no longer scheduled. */
    public boolean remove(Ticket ticket) {
        return waiting.remove(ticket) != null;
    }

    /** Removes and returns the next job that is due, or null. */
    public J pollDue(long nowNs) {
        Map.Entry<Ticket, J> first = waiting.firstEntry();
        if (first == null || first.getKey().dueAtNs() > nowNs) {
            return null;
        }
        return waiting.pollFirstEntry().getValue();
    }

    /** When the next job is due, in nanoseconds; {@code Long.MAX_VALUE} if there is none. */
    public long nextDueNs() {
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.firstKey().dueAtNs();
    }

    /** Number of jobs that are not due yet. */
    public int size() {
        return waiting.size();
    }

    /**
     * The next minute that matches the five fields of SUBMIT_JOB_SCHED; an empty field or {@code *} matches any.
     *
     * @param from time after whose minute the match lies
     * @param fields minute (0-59), hour (0-23), day of the month (1-31), month (1-12), day of the week (0-6,
     *     0 is Monday)
     * @throws IllegalArgumentException if a field is invalid, or if no minute within 9 years matches
     */
    public static ZonedDateTime nextMatch(ZonedDateTime from, String... fields) {
        int minute = field("minute", fields[0], 0, 59);
        int hour = field("hour", fields[1], 0, 23);
        int day = field("day of month", fields[2], 1, 31);
        int month = field("month", fields[3], 1, 12);
        int weekday = field("day of week", fields[4], 0, 6);
        ZonedDateTime at = from.truncatedTo(ChronoUnit.MINUTES).plusMinutes(1);
        ZonedDateTime end = from.plusYears(YEARS_AHEAD);
        while (at.isBefore(end)) { // advances by the largest unit that does not match
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
            // reported below with the bounds of the field
        }
        throw new IllegalArgumentException(name + " must be from " + min + " to " + max + ", not '"
                + (text.length() > 20 ? text.substring(0, 20) + "..." : text) + "'");
    }
}
