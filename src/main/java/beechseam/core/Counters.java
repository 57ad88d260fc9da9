package beechseam.core;

import beechseam.dispatch.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/** What the node has taken in, sent and answered since its start. */
public final class Counters {
    /** Of the jobs of one class; the sums over all are made of these. */
    public static final class ClassCounters {
        long served;
        long shed;
        long failed;
        /** Shed before the module saw them. */
        public long crowdedOut;
        /** Attempts written to the last byte. */
        public long written;

        public long answered() {
            return served;
        }

        public long deferred() {
            return shed + crowdedOut;
        }

        public long errored() {
            return failed;
        }
    }

    private final List<ClassCounters> classes = new ArrayList<>();
    public long requestsAccepted;
    /** Attempts that the module has decided on. */
    public long attemptsSent;

    public long clientsDisconnected;
    public long healthChecks;
    public long lateCallbacks;
    public long badInput;
    public long withheld;
    /** Attempts whose connection fell silent before the target had taken them. */
    public long silent;

    public long faults;
    public long confLoaded;
    public long confInvalid;
    private final long[] ended = new long[Outcome.values().length];

    public ClassCounters of(int jobClass) {
        while (classes.size() <= jobClass) {
            classes.add(new ClassCounters());
        }
        return classes.get(jobClass);
    }

    private long sum(ToLongFunction<ClassCounters> figure) {
        return classes.stream().mapToLong(figure).sum();
    }

    public long served() {
        return sum(c -> c.served);
    }

    public long shed() {
        return sum(c -> c.shed);
    }

    public long failed() {
        return sum(c -> c.failed);
    }

    public long crowdedOut() {
        return sum(c -> c.crowdedOut);
    }

    /** Jobs taken and not yet ended, whatever attempts they still have out. */
    public long current() {
        return requestsAccepted - served() - shed() - failed() - clientsDisconnected;
    }

    /** Counts all that another has counted as well, class by class. */
    public void add(Counters other) {
        for (int i = 0; i < other.classes.size(); i++) {
            ClassCounters to = of(i);
            ClassCounters from = other.classes.get(i);
            to.served += from.served;
            to.shed += from.shed;
            to.failed += from.failed;
            to.crowdedOut += from.crowdedOut;
            to.written += from.written;
        }
        requestsAccepted += other.requestsAccepted;
        attemptsSent += other.attemptsSent;
        clientsDisconnected += other.clientsDisconnected;
        healthChecks += other.healthChecks;
        lateCallbacks += other.lateCallbacks;
        badInput += other.badInput;
        withheld += other.withheld;
        silent += other.silent;
        faults += other.faults;
        confLoaded += other.confLoaded;
        confInvalid += other.confInvalid;
        for (int i = 0; i < ended.length; i++) {
            ended[i] += other.ended[i];
        }
    }

    void count(Outcome outcome) {
        ended[outcome.ordinal()]++;
    }

    public long ended(Outcome... outcomes) {
        long sum = 0;
        for (Outcome o : outcomes) {
            sum += ended[o.ordinal()];
        }
        return sum;
    }

    /** One line of JSON. */
    @Override
    public String toString() {
        StringBuilder s = new StringBuilder("{\"taken\":")
                .append(requestsAccepted)
                .append(",\"sent\":")
                .append(attemptsSent)
                .append(",\"answered\":")
                .append(served() + shed() + failed())
                .append(",\"written\":")
                .append(sum(c -> c.written))
                .append(",\"served\":")
                .append(served())
                .append(",\"shed\":")
                .append(shed())
                .append(",\"failed\":")
                .append(failed())
                .append(",\"left\":")
                .append(clientsDisconnected)
                .append(",\"probes\":")
                .append(healthChecks)
                .append(",\"late_callbacks\":")
                .append(lateCallbacks)
                .append(",\"bad_input\":")
                .append(badInput)
                .append(",\"withheld\":")
                .append(withheld)
                .append(",\"silent\":")
                .append(silent)
                .append(",\"crowded_out\":")
                .append(crowdedOut())
                .append(",\"faults\":")
                .append(faults)
                .append(",\"hops\":{");
        for (Outcome o : Outcome.values()) {
            s.append(o.ordinal() == 0 ? "\"" : ",\"")
                    .append(o.counterName())
                    .append("\":")
                    .append(ended[o.ordinal()]);
        }
        return s.append("}}").toString();
    }
}
