import type { SharedNews } from '../decide/messages.js';
import type { DutyNews } from '../duties/DutyNews.js';

/** Everything that one daemon tells another. */
export type PeerNews = SharedNews | DutyNews;
