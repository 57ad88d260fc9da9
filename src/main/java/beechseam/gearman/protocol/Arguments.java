package beechseam.gearman.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The arguments of one packet as slices of where its body lies; none is copied until it is asked for as bytes
 * or text. A body that the decoder read into an array of its own may be kept as it is; another is void after
 * the call.
 */
public final class Arguments {
    private final byte[] array;
    private final int[] starts;
    private final int[] ends;
    private final boolean owned;

    private Arguments(byte[] array, int count, boolean owned) {
        this.array = array;
        this.owned = owned;
        starts = new int[count];
        ends = new int[count];
    }

    /**
     * Parts a body at its NULs; the last argument takes the rest, NULs and all.
     *
     * @param owned whether the array is the packet's own
     * @return null when there are too few; extra NULs are part of the last
     */
    public static Arguments of(byte[] array, int offset, int length, int count, boolean owned) {
        Arguments arguments = new Arguments(array, count, owned);
        int at = offset;
        int end = offset + length;
        for (int i = 0; i < count; i++) {
            arguments.starts[i] = at;
            if (i == count - 1) {
                at = end;
            } else {
                while (at < end && array[at] != 0) {
                    at++;
                }
                if (at == end) {
                    return null;
                }
            }
            arguments.ends[i] = at++;
        }
        return arguments;
    }

    /** How many arguments there are. */
    public int count() {
        return starts.length;
    }

    /** Bytes of argument i. */
    public int length(int i) {
        return ends[i] - starts[i];
    }

    /** Argument i as text; bytes that are no UTF-8 become the replacement character. */
    public String text(int i) {
        return new String(array, starts[i], length(i), StandardCharsets.UTF_8);
    }

    /** A copy of argument i. */
    public byte[] bytes(int i) {
        return Arrays.copyOfRange(array, starts[i], ends[i]);
    }

    /** Argument i as a buffer that outlives the packet: its own array is kept, any other copied. */
    public ByteBuffer retained(int i) {
        return owned ? ByteBuffer.wrap(array, starts[i], length(i)) : ByteBuffer.wrap(bytes(i));
    }

    /** Whether argument i is all that the given text is, byte for byte. */
    public boolean is(int i, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return Arrays.equals(array, starts[i], ends[i], bytes, 0, bytes.length);
    }

    /** Whether the body lies in an array of its own. */
    public boolean owned() {
        return owned;
    }
}
