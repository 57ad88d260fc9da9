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
 * A simulated client with a fixed number of outstanding jobs (closed loop): it submits the next job on each
 * answer. The duration of a job runs from its submission to its answer.
 */
final class Client extends Speaker {
    private final Packet kind;
    private final String function;
    private final byte[] workload;
    private final Histogram times;
    /** Submission times of jobs whose handle is not known yet, in order of submission. */
    private final ArrayDeque<Long> submittedWithoutHandle = new ArrayDeque<>();

    /** Submission times of open jobs by handle. */
    private final Map<String, Long> submittedByHandle = new HashMap<>();

    private long toSubmit;
    long created;
    long served;
    long failed;
    boolean recording;

    /** @param toSubmit total number of jobs, after which the client submits no more */
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
            submittedWithoutHandle.add(System.nanoTime());
            sendPacket(kind, function, "", workload);
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
                long at = submittedWithoutHandle.poll();
                if (kind.name().endsWith("_BG")) {
                    submit(1);
                } else {
                    submittedByHandle.put(args.text(0), at);
                }
            }
            case WORK_COMPLETE -> {
                served++;
                recordEnd(args.text(0));
            }
            case WORK_FAIL -> {
                failed++;
                recordEnd(args.text(0));
            }
            case ERROR -> {
                fault = error(args);
                submittedWithoutHandle.poll();
                submit(1);
            }
            default -> {}
        }
    }

    private void recordEnd(String handle) {
        Long at = submittedByHandle.remove(handle);
        if (at != null && recording) {
            times.recordValue(Math.min(times.getHighestTrackableValue(), System.nanoTime() - at));
        }
        submit(1);
    }
}
