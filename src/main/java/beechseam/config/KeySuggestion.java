package beechseam.config;

import java.util.Set;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds the known key that an unknown key probably misspells, by their Levenshtein distance. */
final class KeySuggestion {
    /** Largest distance to a suggested key, as a share of the unknown key's length. */
    private static final double MAX_SUGGESTION_SHARE = 0.5;
    /** The same limit, where unknown keys are permitted and only a probable typo is an error. */
    private static final double MAX_TYPO_SHARE = 0.25;

    private KeySuggestion() {}

    /** The nearest known key, to be named in an error; null if none is similar. */
    static String forUnknownKey(String key, Set<String> knownKeys) {
        return nearest(key, knownKeys, MAX_SUGGESTION_SHARE);
    }

    /** The known key that this key probably misspells; null if there is none. */
    static String forTypo(String key, Set<String> knownKeys) {
        return nearest(key, knownKeys, MAX_TYPO_SHARE);
    }

    private static String nearest(String key, Set<String> knownKeys, double maxShare) {
        String nearest = null;
        int bestDistance = (int) Math.max(1, key.length() * maxShare) + 1;
        for (String each : knownKeys) {
            int distance = LevenshteinDistance.getDefaultInstance().apply(key.toLowerCase(), each.toLowerCase());
            if (distance < bestDistance) {
                bestDistance = distance;
                nearest = each;
            }
        }
        return nearest;
    }
}
