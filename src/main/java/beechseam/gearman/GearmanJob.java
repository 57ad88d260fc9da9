package beechseam.gearman;

import beechseam.config.GearmanConfig.Mode;
import beechseam.core.Hop;
import beechseam.core.Ingress;
import beechseam.core.Request;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;

/** A job with all the clients that wait for it: the same key submitted while it lives joins it. */
final class GearmanJob implements Ingress {
    final String handle;
    final String function;
    final String unique;
    /** Function and unique key, by which a second submission finds it; empty when it has no key. */
    final String key;
    final byte[] workload;
    final Mode mode;
    final Set<GearmanConnection> clients = new LinkedHashSet<>();
    private final GearmanServer server;
    /** A background submission is owed the run even when no client waits. */
    boolean background;
    Request request;
    /** The hop whose data the clients are shown: of two copies only one speaks. */
    Hop speaker;
    boolean running;
    String numerator = "0";
    String denominator = "0";

    GearmanJob(GearmanServer server, String handle, String function, String unique, String key,
               byte[] workload, Mode mode) {
        this.server = server;
        this.handle = handle;
        this.function = function;
        this.unique = unique;
        this.key = key;
        this.workload = workload;
        this.mode = mode;
    }

    /** Something on the way to its end. */
    void forward(Packet kind, Object... args) {
        for (GearmanConnection each : clients) {
            if (kind != Packet.WORK_EXCEPTION || each.wantsExceptions()) {
                each.write(kind.response(args));
            }
        }
    }

    /** Whether this hop's data goes to the clients. */
    boolean speaks(Hop hop) {
        if (speaker == null || speaker.over()) {
            speaker = hop;
        }
        return speaker == hop;
    }

    @Override
    public void served(Request r, byte[] result) {
        forward(Packet.WORK_COMPLETE, handle, result);
        server.finished(this);
    }

    @Override
    public void shed(Request r, long pauseNs) {
        // WORK_FAIL has no room for it, so the advice goes ahead as an exception to those that asked.
        forward(Packet.WORK_EXCEPTION, handle,
            String.format(Locale.ROOT, "busy: retry after %.3f s", pauseNs / 1e9));
        fail();
    }

    @Override
    public void failed(Request r, String why) {
        forward(Packet.WORK_EXCEPTION, handle, "failed: " + why);
        fail();
    }

    private void fail() {
        forward(Packet.WORK_FAIL, handle);
        server.finished(this);
    }
}
