package beechseam.core;

/** Something that happens at a time; it is its own handle, armed at most once at a time. */
public abstract class Timer implements Comparable<Timer> {
    private long due;
    private boolean armed;

    /** Its time has come. */
    protected abstract void fire();

    /** For the loop that finds it due. */
    public final void run() {
        fire();
    }

    public final long due() {
        return due;
    }

    public final boolean armed() {
        return armed;
    }

    /** For the queue that holds it. */
    public final void arm(long at, boolean on) {
        due = at;
        armed = on;
    }

    @Override
    public final int compareTo(Timer other) {
        return Long.compare(due, other.due);
    }
}
