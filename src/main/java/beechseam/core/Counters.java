package beechseam.core;

import beechseam.dispatch.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Counts what the node has accepted, sent and answered since its start. Single-threaded, like the engine. The result
 * of {@link #toString} is the counters line that operators read; its keys keep their published names.
 */
public final class Counters {
    private static final String KEY_ACCEPTED = "taken";
    private static final String KEY_ATTEMPTS_SENT = "sent";
    private static final String KEY_ANSWERED = "answered";
    private static final String KEY_ATTEMPTS_WRITTEN = "written";
    private static final String KEY_SERVED = "served";
    private static final String KEY_SHED = "shed";
    private static final String KEY_FAILED = "failed";
    private static final String KEY_CLIENTS_DISCONNECTED = "left";
    private static final String KEY_HEALTH_CHECKS = "probes";
    private static final String KEY_LATE_CALLBACKS = "late_callbacks";
    private static final String KEY_BAD_INPUT = "bad_input";
    private static final String KEY_WITHHELD = "withheld";
    private static final String KEY_SILENT = "silent";
    private static final String KEY_CROWDED_OUT = "crowded_out";
    private static final String KEY_FAULTS = "faults";
    private static final String KEY_OUTCOMES = "hops";

    /** The counters of one job class. The totals are the sums over all classes. */
    public static final class ClassCounters {
        private long served;
        private long shed;
        private long failed;

        /** Jobs shed before they reached the dispatcher. */
        public long crowdedOut;

        /** Attempts written completely, up to the last byte. */
        public long written;

        void recordServed() {
            served++;
        }

        void recordShed() {
            shed++;
        }

        void recordFailed() {
            failed++;
        }

        /** Jobs that got a result. */
        public long answered() {
            return served;
        }

        /** Jobs that were shed, whether or not they reached the dispatcher. */
        public long deferred() {
            return shed + crowdedOut;
        }

        /** Jobs that failed; they may have taken effect. */
        public long errored() {
            return failed;
        }

        private void add(ClassCounters other) {
            served += other.served;
            shed += other.shed;
            failed += other.failed;
            crowdedOut += other.crowdedOut;
            written += other.written;
        }
    }

    /** Requests accepted by the engine. */
    public long requestsAccepted;

    /** Attempts that the dispatcher decided to send. */
    public long attemptsSent;

    /** Requests whose client disconnected before the final answer. */
    public long clientsDisconnected;

    /** Callbacks that arrived when no attempt waited for them any more. */
    public long lateCallbacks;

    /** Requests and callbacks rejected as malformed. */
    public long badInput;

    /** Jobs shed before they reached the dispatcher, and before their class was known. */
    public long crowdedOutUnclassified;

    /** Attempts that were decided but not sent, although their client still waited. */
    public long withheld;

    /** Attempts whose connection became silent before the target acknowledged them. */
    public long silent;

    /** Events that threw an exception. */
    public long faults;

    /** Configurations loaded. */
    public long confLoaded;

    /** Configurations rejected as invalid. */
    public long confInvalid;

    private final List<ClassCounters> classes = new ArrayList<>();
    private final long[] outcomes = new long[Outcome.values().length];
    private long healthChecks;

    /** The counters of a job class, by its index in the settings; created at the first use. */
    public ClassCounters of(int jobClass) {
        while (classes.size() <= jobClass) {
            classes.add(new ClassCounters());
        }
        return classes.get(jobClass);
    }

    private long sum(ToLongFunction<ClassCounters> counter) {
        return classes.stream().mapToLong(counter).sum();
    }

    /** Jobs that got a result, over all classes. */
    public long served() {
        return sum(each -> each.served);
    }

    /** Jobs shed after the engine accepted them, over all classes. */
    public long shed() {
        return sum(each -> each.shed);
    }

    /** Jobs that failed and may have taken effect, over all classes. */
    public long failed() {
        return sum(each -> each.failed);
    }

    /** Jobs shed before they reached the dispatcher, over all classes and those of unknown class. */
    public long crowdedOut() {
        return crowdedOutUnclassified + sum(each -> each.crowdedOut);
    }

    /** Accepted jobs that have no final answer yet, whether or not attempts are still in flight. */
    public long current() {
        return requestsAccepted - served() - shed() - failed() - clientsDisconnected;
    }

    /** Adds all counts of {@code other}, class by class. */
    public void add(Counters other) {
        for (int i = 0; i < other.classes.size(); i++) {
            of(i).add(other.classes.get(i));
        }
        requestsAccepted += other.requestsAccepted;
        attemptsSent += other.attemptsSent;
        clientsDisconnected += other.clientsDisconnected;
        healthChecks += other.healthChecks;
        lateCallbacks += other.lateCallbacks;
        badInput += other.badInput;
        crowdedOutUnclassified += other.crowdedOutUnclassified;
        withheld += other.withheld;
        silent += other.silent;
        faults += other.faults;
        confLoaded += other.confLoaded;
        confInvalid += other.confInvalid;
        for (int i = 0; i < outcomes.length; i++) {
            outcomes[i] += other.outcomes[i];
        }
    }

    void recordHealthCheck() {
        healthChecks++;
    }

    void recordOutcome(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** Attempts that ended with one of these outcomes. */
    public long ended(Outcome... counted) {
        long sum = 0;
        for (Outcome outcome : counted) {
            sum += outcomes[outcome.ordinal()];
        }
        return sum;
    }

    /** The counters line: one line of JSON with its keys always in the same order. */
    @Override
    public String toString() {
        StringBuilder json = new StringBuilder("{");
        append(json, KEY_ACCEPTED, requestsAccepted);
        append(json, KEY_ATTEMPTS_SENT, attemptsSent);
        append(json, KEY_ANSWERED, served() + shed() + failed());
        append(json, KEY_ATTEMPTS_WRITTEN, sum(each -> each.written));
        append(json, KEY_SERVED, served());
        append(json, KEY_SHED, shed());
        append(json, KEY_FAILED, failed());
        append(json, KEY_CLIENTS_DISCONNECTED, clientsDisconnected);
        append(json, KEY_HEALTH_CHECKS, healthChecks);
        append(json, KEY_LATE_CALLBACKS, lateCallbacks);
        append(json, KEY_BAD_INPUT, badInput);
        append(json, KEY_WITHHELD, withheld);
        append(json, KEY_SILENT, silent);
        append(json, KEY_CROWDED_OUT, crowdedOut());
        append(json, KEY_FAULTS, faults);
        json.append(",\"").append(KEY_OUTCOMES).append("\":{");
        for (Outcome outcome : Outcome.values()) {
            append(json, outcome.counterName(), outcomes[outcome.ordinal()]);
        }
        return json.append("}}").toString();
    }

    private static void append(StringBuilder json, String key, long value) {
        if (json.charAt(json.length() - 1) != '{') {
            json.append(',');
        }
        json.append('"').append(key).append("\":").append(value);
    }
}
