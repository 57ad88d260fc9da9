package beechseam.load;

import beechseam.core.Timer;
import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * A stand-in worker: does a job in no time, or in a stated one, and asks again; asleep while there is none.
 */
final class Worker extends Speaker {
    private static final byte[] RESULT = "done".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    private final long runNs;
    long done;

    Worker(EventLoop loop, InetSocketAddress to, long runNs, String... functions) throws IOException {
        super(loop, to);
        this.runNs = runNs;
        for (String each : functions) {
            say(Packet.CAN_DO, each);
        }
        say(Packet.GRAB_JOB);
    }

    @Override
    public void packet(Packet kind, Arguments args) {
        switch (kind) {
            case NO_JOB -> say(Packet.PRE_SLEEP);
            case NOOP -> say(Packet.GRAB_JOB);
            case JOB_ASSIGN -> {
                byte[] handle = args.bytes(0);
                if (runNs == 0) {
                    complete(handle);
                } else {
                    loop.timers.set(
                            new Timer() {
                                @Override
                                protected void fire() {
                                    complete(handle);
                                }
                            },
                            loop.now() + runNs);
                }
            }
            case ERROR -> fault = error(args);
            default -> {}
        }
    }

    private void complete(byte[] handle) {
        done++;
        // Both at once, as a client library's buffer would send them.
        write(Packet.WORK_COMPLETE.request(handle, RESULT), Packet.GRAB_JOB.request());
    }
}
