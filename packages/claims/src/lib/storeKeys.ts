/** The store key of the number of shards. */
export const LAYOUT_KEY = 'claims/layout';

/** The common prefix of the store keys of all segments. */
export const SEGMENTS_PREFIX = 'claim-segments/';
