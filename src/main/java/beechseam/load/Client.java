package beechseam.load;

import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * A stand-in client with a fixed number of jobs outstanding (closed loop): each answer brings the next
 * submission. The time of a job runs from its submission to its answer.
 */
final class Client extends Speaker {
    private final Packet kind;
    private final String function;
    private final byte[] workload;
    private final Histogram times;
    /** When the jobs were submitted that have no handle yet, and those that have one. */
    private final ArrayDeque<Long> unnamed = new ArrayDeque<>();

    private final Map<String, Long> named = new HashMap<>();
    private long toSubmit;
    long created;
    long served;
    long failed;
    boolean recording;

    /** @param toSubmit jobs in all; submissions stop then */
    Client(
            EventLoop loop,
            InetSocketAddress to,
            Packet kind,
            String function,
            int bytes,
            long toSubmit,
            Histogram times)
            throws IOException {
        super(loop, to);
        this.kind = kind;
        this.function = function;
        this.toSubmit = toSubmit;
        this.times = times;
        workload = new byte[bytes];
        java.util.Arrays.fill(workload, (byte) 'w');
    }

    void submit(int jobs) {
        for (int i = 0; i < jobs && toSubmit > 0; i++) {
            toSubmit--;
            unnamed.add(System.nanoTime());
            say(kind, function, "", workload);
        }
    }

    void stop() {
        toSubmit = 0;
    }

    @Override
    public void packet(Packet p, Arguments args) {
        switch (p) {
            case JOB_CREATED -> {
                created++;
                long at = unnamed.poll();
                if (kind.name().endsWith("_BG")) {
                    submit(1);
                } else {
                    named.put(args.text(0), at);
                }
            }
            case WORK_COMPLETE -> {
                served++;
                ended(args.text(0));
            }
            case WORK_FAIL -> {
                failed++;
                ended(args.text(0));
            }
            case ERROR -> {
                fault = error(args);
                unnamed.poll();
                submit(1);
            }
            default -> {}
        }
    }

    private void ended(String handle) {
        Long at = named.remove(handle);
        if (at != null && recording) {
            times.recordValue(Math.min(times.getHighestTrackableValue(), System.nanoTime() - at));
        }
        submit(1);
    }
}
