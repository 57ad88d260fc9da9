package beechseam.platform;

import java.io.IOException;
import java.net.InetSocketAddress;

/** A node that discovery has told of the usual executor. */
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
