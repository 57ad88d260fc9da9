package beechseam.dispatch;

import java.util.Map;

/**
 * What a dispatcher has learned, for the dispatcher of the next process.
 *
 * @param entries rows of figures by name, as they are handed from process to process
 */
public record LearnedState(Map<String, double[]> entries) {}
