package beechseam.platform;

import java.io.IOException;
import java.net.InetSocketAddress;

/** A node that has received a list with the usual executor from discovery. */
abstract class ListedNodeHarness extends NodeHarness {
    final PlatformNode node = newNode(SETTINGS);

    ListedNodeHarness() {
        answerFirstListRequest(node);
    }

    @Override
    InetSocketAddress address() throws IOException {
        return node.address();
    }
}
