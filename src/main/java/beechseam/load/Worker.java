package beechseam.load;

import beechseam.core.Timer;
import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * A simulated worker. It completes each job at once or after a fixed run time and then grabs the next; while the
 * server has no job, it sleeps until woken by a NOOP.
 */
final class Worker extends Speaker {
    private static final byte[] RESULT = "done".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    private final long runNs;
    long done;

    Worker(EventLoop loop, InetSocketAddress to, long runNs, String... functions) throws IOException {
        super(loop, to);
        this.runNs = runNs;
        for (String each : functions) {
            sendPacket(Packet.CAN_DO, each);
        }
        sendPacket(Packet.GRAB_JOB);
    }

    @Override
    public void packet(Packet kind, Arguments args) {
        switch (kind) {
            case NO_JOB -> sendPacket(Packet.PRE_SLEEP);
            case NOOP -> sendPacket(Packet.GRAB_JOB);
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
        // One write for both packets, as a client library with an output buffer sends them.
        write(Packet.WORK_COMPLETE.request(handle, RESULT), Packet.GRAB_JOB.request());
    }
}
