/*
 * Structured logging. Every log line carries one of the event numbers below;
 * docs/EVENTS.md describes them for operators. Messages go through GLib's
 * structured logging with the fields EVENT, ROLE and MESSAGE, and are written
 * one per line as key=value pairs.
 */
#ifndef MP_COMMON_EVENT_H
#define MP_COMMON_EVENT_H

#include <stdbool.h>

#include <glib.h>

enum mp_event {
	EV_STARTED = 100,
	EV_STOPPING = 101,
	EV_STOPPED = 102,
	EV_RELOADED = 103,
	EV_STOP_CUT = 104,
	EV_SETTINGS_INVALID = 110,
	EV_SETTINGS_FINDING = 111,
	EV_LISTEN_FAILED = 120,
	EV_SOCKETS_SHORT = 130,
	EV_CLIENT_MEMORY_SHORT = 131,
	EV_REPLY_MEMORY_SHORT = 132,
	EV_REPLY_SLOW = 133,
	EV_BODY_MEMORY_SHORT = 134,

	EV_CONFIG_APPLIED = 200,
	EV_CONFIG_INVALID_RECORD = 205,
	EV_CONFIG_KEPT = 206,
	EV_CONFIG_REPLACED = 207,

	EV_PLATFORM_UNREACHABLE = 300,
	EV_PLATFORM_RECOVERED = 301,
	EV_STORE_ERA = 302,
	EV_STORE_ERA_INVALID = 303,
	EV_STORE_STALE_RESPONSE = 304,
	EV_STORE_RELIST = 305,
	EV_STORE_LISTING_INCOMPLETE = 309,
	EV_LIST_GAP = 306,
	EV_REMOVAL_DEFERRED = 307,
	EV_MEMBER_JOINED = 310,
	EV_MEMBER_LEAVING = 311,
	EV_MEMBER_REMOVED = 312,
	EV_MEMBER_INVALID_RECORD = 313,
	EV_MEMBER_UNCONFIRMED = 319,
	EV_BACKEND_DEPRIORITIZED = 314,
	EV_BACKEND_RECOVERED = 315,
	EV_BACKEND_DOWN = 316,
	EV_BACKEND_UP = 317,
	EV_BACKEND_CRASH_CHECKED = 318,
	EV_PEER_JOINED = 320,
	EV_PEER_INVALID_DATAGRAM = 321,
	EV_PEERS_CHANGED = 322,
	EV_PEER_FETCH_DONE = 323,
	EV_PEER_LOST = 324,
	EV_PEER_FETCH_FAILED = 325,
	EV_RECORDS_RESTORED = 326,
	EV_JOINED = 327,
	EV_LIST_LOADED = 328,
	EV_CONTACT = 329,
	EV_STALLED = 308,
	EV_CRASH_SUSPECTED = 330,
	EV_CRASH_QUARANTINED = 331,
	EV_CRASH_RELEASED = 332,
	EV_CRASH_TRIAL = 333,
	EV_LIMIT_STARTED = 340,
	EV_LIMIT_ENDED = 341,
	EV_LIMIT_INVALID = 342,
	EV_LIMIT_CHARGED = 343,
	EV_LIMIT_GRANTED = 344,
	EV_BACKEND_BACKOFF = 345,
	EV_BACKEND_DRAINING = 346,
	EV_RESPONSE_INVALID = 347,
	EV_SLOW_START_BEGAN = 348,
	EV_SLOW_START_ENDED = 349,
	EV_SLOW_START_CHARGED = 350,
	EV_DC_EVACUATED = 351,
	EV_DC_RESTORED = 352,
	EV_SERVICE_LOST = 360,
	EV_SERVICE_REACHED = 361,
	EV_TUNNEL_OPENED = 362,
	EV_TUNNEL_FAILED = 363,
	EV_TUNNEL_SERVED = 364,
	EV_TUNNEL_REFUSED = 365,
	EV_TUNNEL_CLOSED = 366,
	EV_SHORTAGE_BEGUN = 380,
	EV_SHORTAGE_ENDED = 381,

	EV_QUOTA_REFUSED = 370,

	EV_RESPONSE_MISMATCHED = 401,

	EV_REQUEST_SENT = 410,
	EV_REQUEST_DONE = 411,
	EV_REQUEST_REFUSED = 412,
	EV_REQUEST_OUTCOME_UNKNOWN = 413,
	EV_REQUEST_RETRY = 414,
	EV_REQUEST_CALLER_LEFT = 415,
	EV_REQUEST_NO_ROUTE = 416,
	EV_REQUEST_INVALID = 417,
	EV_REQUEST_CONNECTION_BROKEN = 418,
	EV_REQUEST_EXTRA_SEND = 419,
	EV_REQUEST_SEND_CANCELED = 420,
	EV_REQUEST_UNAUTHORIZED = 421,
	EV_BODY_REFUSED = 425,
	EV_CONFIG_INVALID_ENTRY = 430,

	EV_INVARIANT_BROKEN = 900,
};

void mp_log_init(const char *role);
void mp_log_to_stdout(void);
void mp_log_critical_only(void);
int mp_log_set_level(const char *name);
guint64 mp_log_lines_lost(void);
bool mp_log_allow_routine(void);
void mp_log_add_suppressed(unsigned lines);
void mp_event(enum mp_event ev, GLogLevelFlags level, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* mp_invariant() logs event 900 and aborts if cond is false. */
#define mp_invariant(cond, ...)                                             \
	do {                                                                \
		if (!(cond)) {                                              \
			mp_event(EV_INVARIANT_BROKEN, G_LOG_LEVEL_CRITICAL, \
				 __VA_ARGS__);                              \
			abort();                                            \
		}                                                           \
	} while (0)

#endif
