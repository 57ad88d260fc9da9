package beechseam.gearman.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The arguments of one packet as slices of the array that contains its body; an argument is copied only when it is
 * read as bytes or text. A body that the decoder read into an array of its own can be retained without a copy.
 * Any other body lies in the read buffer and is valid only during the call that passes the arguments.
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
     * Splits a body into arguments at its NULs; the last argument is the rest of the body, including any NULs.
     *
     * @param owned whether the array contains only this packet's body and is not reused
     * @return the arguments, or null if the body has fewer than {@code count}
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

    /** Number of arguments. */
    public int count() {
        return starts.length;
    }

    /** Length of argument i in bytes. */
    public int length(int i) {
        return ends[i] - starts[i];
    }

    /** Argument i as text; bytes that are not valid UTF-8 become the replacement character. */
    public String text(int i) {
        return new String(array, starts[i], length(i), StandardCharsets.UTF_8);
    }

    /** Argument i as a buffer that is valid only during the call that passes the arguments, unless owned. */
    public ByteBuffer view(int i) {
        return ByteBuffer.wrap(array, starts[i], length(i));
    }

    /** A copy of argument i. */
    public byte[] bytes(int i) {
        return Arrays.copyOfRange(array, starts[i], ends[i]);
    }

    /** Argument i as a buffer that stays valid after the call; it is copied only if the array is not owned. */
    public ByteBuffer retained(int i) {
        return owned ? view(i) : ByteBuffer.wrap(bytes(i));
    }

    /** The bytes of heap that {@link #retained} keeps alive: those of the whole array if it is owned. */
    public int retainedBytes(int i) {
        return owned ? array.length : length(i);
    }

    /** Whether argument i equals the given text, byte for byte. */
    public boolean is(int i, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return Arrays.equals(array, starts[i], ends[i], bytes, 0, bytes.length);
    }

    /** Whether the body is in an array of its own. */
    public boolean owned() {
        return owned;
    }
}
