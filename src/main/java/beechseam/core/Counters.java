package beechseam.core;

import beechseam.Dispatching.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/** What the node has taken in, sent and answered since its start. */
public final class Counters {
    /** Of the jobs of one class; the sums over all are made of these. */
    public static final class OfClass {
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

    private final List<OfClass> classes = new ArrayList<>();
    public long taken;
    /** Attempts that the module has decided on. */
    public long sent;

    public long left;
    public long probes;
    public long lateCallbacks;
    public long badInput;
    public long withheld;
    /** Attempts whose connection fell silent before the target had taken them. */
    public long silent;

    public long faults;
    public long confLoaded;
    public long confInvalid;
    private final long[] ended = new long[Outcome.values().length];

    public OfClass of(int jobClass) {
        while (classes.size() <= jobClass) {
            classes.add(new OfClass());
        }
        return classes.get(jobClass);
    }

    private long sum(ToLongFunction<OfClass> figure) {
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
        return taken - served() - shed() - failed() - left;
    }

    /** Counts all that another has counted as well, class by class. */
    public void add(Counters other) {
        for (int i = 0; i < other.classes.size(); i++) {
            OfClass to = of(i);
            OfClass from = other.classes.get(i);
            to.served += from.served;
            to.shed += from.shed;
            to.failed += from.failed;
            to.crowdedOut += from.crowdedOut;
            to.written += from.written;
        }
        taken += other.taken;
        sent += other.sent;
        left += other.left;
        probes += other.probes;
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
                .append(taken)
                .append(",\"sent\":")
                .append(sent)
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
                .append(left)
                .append(",\"probes\":")
                .append(probes)
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
                    .append(o.name().toLowerCase(java.util.Locale.ROOT))
                    .append("\":")
                    .append(ended[o.ordinal()]);
        }
        return s.append("}}").toString();
    }
}
