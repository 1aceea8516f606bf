// Steps the wall clock of one process. Loaded with LD_PRELOAD, it puts functions of its own in place of the clock
// functions of the process's vDSO. They add to the real-time clocks what the control file holds, in nanoseconds; the
// monotonic clocks stay as they are. Nothing outside the process is changed.
#include <elf.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#ifndef __x86_64__
#error "the shim writes x86-64 instructions"
#endif

static volatile int64_t *shift;

static long clock_call(long id, struct timespec *ts) {
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "0"(SYS_clock_gettime), "D"(id), "S"(ts) : "rcx", "r11", "memory");
	return result;
}

static int shifted_clock_gettime(clockid_t id, struct timespec *ts) {
	long result = clock_call(id, ts);
	if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
		int64_t ns = ts->tv_sec * 1000000000LL + ts->tv_nsec + *shift;
		ts->tv_sec = ns / 1000000000LL;
		ts->tv_nsec = ns % 1000000000LL;
	}
	return result;
}

static int shifted_gettimeofday(struct timeval *tv, void *zone) {
	struct timespec ts;
	(void)zone;
	shifted_clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec;
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

static time_t shifted_time(time_t *t) {
	struct timespec ts;
	shifted_clock_gettime(CLOCK_REALTIME, &ts);
	if (t) *t = ts.tv_sec;
	return ts.tv_sec;
}

static void fail(const char *what) {
	ssize_t ignored = write(2, what, strlen(what));
	(void)ignored;
	_exit(97);
}

// jump writes "mov rax, target; jmp rax" over the beginning of a function.
static void jump(unsigned char *at, void *target) {
	uint64_t address = (uint64_t)target;
	at[0] = 0x48;
	at[1] = 0xb8;
	memcpy(at + 2, &address, 8);
	at[10] = 0xff;
	at[11] = 0xe0;
}

static void patch(unsigned char *vdso, const char *name, Elf64_Sym *symbol) {
	static const struct { const char *name; void *target; } functions[] = {
		{"__vdso_clock_gettime", shifted_clock_gettime},
		{"__vdso_gettimeofday", shifted_gettimeofday},
		{"__vdso_time", shifted_time},
	};
	for (size_t i = 0; i < sizeof functions / sizeof *functions; i++)
		if (!strcmp(name, functions[i].name)) jump(vdso + symbol->st_value, functions[i].target);
}

__attribute__((constructor)) static void start(void) {
	const char *path = getenv("WALL_CLOCK_SHIFT");
	if (!path) return;
	int fd = open(path, O_RDONLY);
	if (fd < 0) fail("wall clock shim: no control file\n");
	shift = mmap(0, sizeof *shift, PROT_READ, MAP_SHARED, fd, 0);
	close(fd);
	if (shift == MAP_FAILED) fail("wall clock shim: the control file can't be mapped\n");

	unsigned char *vdso = (unsigned char *)getauxval(AT_SYSINFO_EHDR);
	if (!vdso) fail("wall clock shim: no vDSO\n");
	Elf64_Ehdr *header = (Elf64_Ehdr *)vdso;
	Elf64_Phdr *segments = (Elf64_Phdr *)(vdso + header->e_phoff);
	Elf64_Dyn *dynamic = 0;
	uint64_t size = 0;
	for (int i = 0; i < header->e_phnum; i++) {
		if (segments[i].p_type == PT_DYNAMIC) dynamic = (Elf64_Dyn *)(vdso + segments[i].p_offset);
		if (segments[i].p_type == PT_LOAD) size = segments[i].p_offset + segments[i].p_memsz;
	}
	Elf64_Sym *symbols = 0;
	const char *names = 0;
	for (Elf64_Dyn *d = dynamic; d && d->d_tag != DT_NULL; d++) {
		if (d->d_tag == DT_SYMTAB) symbols = (Elf64_Sym *)(vdso + d->d_un.d_ptr);
		if (d->d_tag == DT_STRTAB) names = (const char *)(vdso + d->d_un.d_ptr);
	}
	if (!symbols || !names || !size) fail("wall clock shim: the vDSO can't be read\n");
	if (mprotect(vdso, size, PROT_READ | PROT_WRITE | PROT_EXEC)) fail("wall clock shim: the vDSO can't be written\n");
	// The names stand behind the symbols.
	for (Elf64_Sym *s = symbols; (const char *)s < names; s++) patch(vdso, names + s->st_name, s);
	mprotect(vdso, size, PROT_READ | PROT_EXEC);
}
