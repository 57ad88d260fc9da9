package beechseam.gearman;

import java.nio.ByteBuffer;

/**
 * The key of a job submitted with the unique key "-": its workload, compared byte for byte. The workload is not copied;
 * it may have 16 MB, and a copy would double the memory of the job.
 */
final class ContentKey {
    private final ByteBuffer workload;
    private final int hash;

    /** Creates a key of the bytes between the buffer's position and limit, which the caller must not change. */
    ContentKey(ByteBuffer workload) {
        this.workload = workload;
        hash = workload.hashCode();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ContentKey key && hash == key.hash && workload.equals(key.workload);
    }

    @Override
    public int hashCode() {
        return hash;
    }
}
