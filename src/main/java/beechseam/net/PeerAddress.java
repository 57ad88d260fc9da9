package beechseam.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;

/** The address of a connection's peer, for logs and lists. */
final class PeerAddress {
    private PeerAddress() {}

    /** Returns the peer's IP address in text form, or "?" if the channel is closed or has none. */
    static String text(SocketChannel channel) {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress address
                    ? address.getAddress().getHostAddress()
                    : "?";
        } catch (IOException e) {
            return "?";
        }
    }
}
