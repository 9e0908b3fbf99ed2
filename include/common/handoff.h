/* ThreadSanitizer annotations for messages that pass between threads through a
   ck_ring, whose memory fences ThreadSanitizer does not recognise.  They
   expand to nothing in other builds. */
#ifndef GALENA_COMMON_HANDOFF_H
#define GALENA_COMMON_HANDOFF_H

#ifdef __SANITIZE_THREAD__
void __tsan_acquire (void *address);
void __tsan_release (void *address);
#define handoff_release(message) __tsan_release (message)
#define handoff_acquire(message) __tsan_acquire (message)
#else
#define handoff_release(message) ((void)(message))
#define handoff_acquire(message) ((void)(message))
#endif

#endif
