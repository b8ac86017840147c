/**
 * Thrown for settings that can't be read now and may be whole later: their file is missing, or not completely
 * written.
 *
 * @public
 */
export class UnavailableSettingsError extends Error {}
