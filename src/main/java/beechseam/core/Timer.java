package beechseam.core;

/** Something that happens at a time; it is its own handle, armed at most once at a time. */
public abstract class Timer implements Comparable<Timer> {
    private long due;
    private long order;
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

    /** For the queue that holds it; {@code mark} tells apart those of one time. */
    public final void arm(long at, long mark) {
        due = at;
        order = mark;
        armed = true;
    }

    public final void disarm() {
        armed = false;
    }

    @Override
    public final int compareTo(Timer other) {
        int byTime = Long.compare(due, other.due);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
